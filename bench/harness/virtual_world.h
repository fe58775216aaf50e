#pragma once

#include "bench/harness/event_queue.h"
#include "bench/harness/fake_engine.h"
#include "bench/harness/invariant_checks.h"
#include "bench/harness/message_network.h"
#include "bench/harness/scenario.h"
#include "servers/entry/entry_reducer.h"
#include "servers/sidecar/sidecar_reducer.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquat_bench {

// Real reducers of entries and sidecars, joined by a message queue in virtual time, between fake callers and fake engines.
class virtual_world {
public:
    // Changes an offer on its way to a sidecar. Tests plant faults with it, to show that a check fails.
    using offer_tamper = std::function<void(kumquat::offer&, const kumquat::sidecar_reducer&)>;

    virtual_world(scenario, const policy_choice&, offer_tamper = {});

    // Runs until every caller has had its end, or until no request can be open any more.
    void run();

    const scenario& plan() const { return m_plan; }
    const std::vector<caller_record>& callers() const { return m_callers; }
    const invariant_checks& checks() const { return m_checks; }
    instant start() const { return m_start; }
    // The most engines that any one request body has crashed.
    std::size_t mostCrashesByOneRequest() const;
    // Number of events that reducers have handled.
    std::uint64_t steps() const { return m_steps; }

private:
    struct process {
        std::string address;
        std::string dataCentre;
        std::uint64_t incarnation = 0;
        instant pausedUntil;
        // What arrived during a pause, in order.
        std::deque<event_queue::action> backlog;
        std::optional<instant> timer;
    };

    struct entry_process : process {
        kumquat::entry_options options;
        std::unique_ptr<kumquat::entry_reducer> reducer;
    };

    struct sidecar_process : process {
        kumquat::sidecar_options options;
        std::unique_ptr<kumquat::sidecar_reducer> reducer;
        std::unique_ptr<fake_engine> engine;
        // Calls of a plain service that run.
        std::set<kumquat::run_id> plainRuns;
        std::optional<instant> leavingSince;
        std::set<kumquat::attempt_id> refused;
        std::optional<instant> scheduledIteration;
    };

    void addEntry(std::uint32_t index);
    void addSidecar(const std::string& service, kumquat::service_kind, std::uint32_t index);
    void startEntry(entry_process&);
    void startSidecar(sidecar_process&);
    std::vector<kumquat::instance> listInstances() const;
    void publishList();
    void probe(sidecar_process&);

    void scheduleCallers();
    void arrive(std::size_t caller);
    void depart(std::size_t caller);

    void scheduleFault(const fault&);
    void apply(const engine_crash&);
    void apply(const engine_slowdown&);
    void apply(const sidecar_drain&);
    void apply(const sidecar_restart&);
    void apply(const entry_restart&);
    void apply(const sidecar_pause&);
    void apply(const entry_pause&);
    void apply(const crashing_caller&) { }

    void step(entry_process&, const kumquat::entry_event&);
    void step(sidecar_process&, const kumquat::sidecar_event&);
    template <typename Process>
    void scheduleTimer(Process&);
    void pause(process&, duration);
    // Runs an action of a process now, or when its pause ends.
    void whenAwake(process&, event_queue::action);
    void wakeUp(process&);
    // Runs an action after a delay, unless the process has been replaced by then.
    void later(process&, duration, event_queue::action);

    void send(const process& from, const std::string& address, const kumquat::peer_message&);
    void deliver(const std::string& address, const kumquat::peer_message&);
    duration delayBetween(const process&, const process&) const;

    void perform(entry_process&, const kumquat::send_to_sidecar&);
    void perform(entry_process&, const kumquat::append_answer&);
    void perform(entry_process&, const kumquat::finish_answer&);
    void perform(entry_process&, const kumquat::fail_answer&);
    void perform(sidecar_process&, const kumquat::send_to_peer&);
    void perform(sidecar_process&, const kumquat::start_run&);
    void perform(sidecar_process&, const kumquat::cancel_run&);
    void perform(sidecar_process&, const kumquat::stop_process&);
    // Logs, metrics and the like have no consequence in the world.
    template <typename Process, typename Other>
    void perform(Process&, const Other&) { }

    void startOnUpstream(sidecar_process&, const kumquat::start_run&);
    void scheduleIteration(sidecar_process&);
    void finishIteration(sidecar_process&);
    void crashEngine(sidecar_process&, const caller_record* cause);
    bool isUp(const sidecar_process&) const;
    caller_record* callerOf(const std::string& contentType);
    void noteEnd(const caller_record&);

    scenario m_plan;
    policy_choice m_policy;
    offer_tamper m_tamper;
    event_queue m_queue;
    instant m_start;
    message_network m_network;
    std::vector<caller_record> m_callers;
    std::unordered_map<std::string, caller_record*> m_callersByRequest;
    invariant_checks m_checks;
    std::vector<std::unique_ptr<entry_process>> m_entries;
    std::vector<std::unique_ptr<sidecar_process>> m_sidecars;
    std::unordered_map<std::string, entry_process*> m_entriesByAddress;
    std::unordered_map<std::string, sidecar_process*> m_sidecarsByAddress;
    std::map<std::string, std::size_t> m_crashesByBody;
    std::mt19937_64 m_random;
    std::size_t m_openCallers = 0;
    std::uint64_t m_nextIncarnation = 100;
    std::uint64_t m_steps = 0;
};

} // namespace kumquat_bench
