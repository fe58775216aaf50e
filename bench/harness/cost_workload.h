#pragma once

#include "servers/entry/entry_reducer.h"
#include "servers/sidecar/sidecar_reducer.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace kumquat_bench {

// Sizes on which the cost of a decision may depend.
struct cost_size {
    std::uint32_t upstreams = 10;
    std::uint32_t organisations = 10;
};

// Steady traffic through one entry, with every upstream reporting and some requests in flight.
class entry_workload {
public:
    explicit entry_workload(cost_size);

    // Takes one new request and answers the oldest one in flight.
    void serveOne();
    // Applies the periodic reports and timers, which are no part of a request.
    void refresh();
    void applyReport();

private:
    kumquat::entry_effects step(const kumquat::entry_event&);
    void arrive();
    void answerOldest();

    cost_size m_size;
    kumquat::entry_reducer m_reducer;
    kumquat::instant m_now;
    kumquat::instant m_nextRefresh;
    std::deque<kumquat::offer> m_inFlight;
    std::uint64_t m_nextChannel = 1;
    std::uint32_t m_nextReport = 0;
};

// Steady traffic through one sidecar whose slots are full and whose queue holds work of every organisation.
class sidecar_workload {
public:
    explicit sidecar_workload(cost_size);

    // Takes one new offer and finishes the oldest run.
    void serveOne();
    void refresh();

private:
    void step(const kumquat::sidecar_event&);
    void arrive();
    void finishOldest();

    cost_size m_size;
    kumquat::sidecar_reducer m_reducer;
    kumquat::instant m_now;
    kumquat::instant m_nextRefresh;
    std::deque<kumquat::run_id> m_runs;
    std::uint64_t m_nextRequest = 1;
};

} // namespace kumquat_bench
