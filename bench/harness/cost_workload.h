#pragma once

#include "servers/entry/entry_reducer.h"
#include "servers/sidecar/sidecar_reducer.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace kumquat_bench {

// Parameters on which the cost of one request may depend.
struct workload_size {
    std::uint32_t upstreams = 10;
    std::uint32_t organisations = 10;
};

// Drives one entry reducer with steady traffic: every upstream sends reports and a constant number of requests is in
// flight.
class entry_workload {
public:
    explicit entry_workload(workload_size);

    // Starts a new request and delivers the complete answer to the oldest request in flight.
    void serveRequest();
    // Handles the periodic reports and timers when they are due, apart from any request.
    void handlePeriodicEvents();
    // Handles the load report of the next upstream in turn.
    void applyReport();

private:
    kumquat::entry_effects step(const kumquat::entry_event&);
    void startRequest();
    void answerOldest();

    workload_size m_size;
    kumquat::entry_reducer m_reducer;
    kumquat::instant m_now;
    kumquat::instant m_nextPeriodicEvents;
    std::deque<kumquat::offer> m_inFlight;
    std::uint64_t m_nextChannel = 1;
    std::uint32_t m_nextReportIndex = 0;
};

// Drives one sidecar reducer whose slots are all occupied and whose queue contains attempts of every organisation.
class sidecar_workload {
public:
    explicit sidecar_workload(workload_size);

    // Offers a new attempt and finishes the oldest run.
    void serveRequest();
    // Renews the entry's subscription and handles the due timers, apart from any request.
    void handlePeriodicEvents();

private:
    void step(const kumquat::sidecar_event&);
    void offerAttempt();
    void finishOldest();

    workload_size m_size;
    kumquat::sidecar_reducer m_reducer;
    kumquat::instant m_now;
    kumquat::instant m_nextPeriodicEvents;
    std::deque<kumquat::run_id> m_runs;
    std::uint64_t m_nextRequest = 1;
};

} // namespace kumquat_bench
