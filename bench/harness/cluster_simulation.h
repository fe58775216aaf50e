#pragma once

#include "bench/harness/event_queue.h"
#include "bench/harness/invariant_checks.h"
#include "bench/harness/message_network.h"
#include "bench/harness/scenario.h"
#include "bench/harness/simulated_engine.h"
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

// Discrete-event simulation of a deployment. The reducers of entries and sidecars are the production code; callers,
// engines, plain services, the network and time are simulated.
class cluster_simulation {
public:
    // Modifies an offer before a sidecar handles it. Tests inject faults with it to show that the checks detect them.
    using offer_mutator = std::function<void(kumquat::offer&, const kumquat::sidecar_reducer&)>;

    cluster_simulation(scenario, const compared_policy&, offer_mutator = {});

    // Runs until the load phases are over and every request has ended, or until every deadline has passed.
    void run();

    const scenario& plan() const { return m_plan; }
    const std::vector<caller_record>& callers() const { return m_callers; }
    const invariant_checks& checks() const { return m_checks; }
    // Start of the scenario, when the first callers may arrive.
    instant start() const { return m_start; }
    // The highest number of engine crashes caused by one request body.
    std::size_t maxCrashesByOneRequest() const;
    // Number of events that all reducers have handled.
    std::uint64_t steps() const { return m_steps; }

private:
    struct process {
        std::string address;
        std::string dataCentre;
        // Zero after the process has stopped.
        std::uint64_t incarnation = 0;
        instant pausedUntil;
        // Actions that became due during a pause, in order.
        std::deque<event_queue::action> backlog;
        // The reducer deadline for which a timer event is scheduled.
        std::optional<instant> scheduledDeadline;
        // The time of the last timer, and how many timers fired since then without time advancing.
        instant lastTimerTime;
        std::uint32_t timersAtSameInstant = 0;
    };

    struct entry_process : process {
        kumquat::entry_options options;
        std::unique_ptr<kumquat::entry_reducer> reducer;
    };

    struct sidecar_process : process {
        kumquat::sidecar_options options;
        std::unique_ptr<kumquat::sidecar_reducer> reducer;
        std::unique_ptr<simulated_engine> engine;
        // Calls that a plain service is executing.
        std::set<kumquat::run_id> plainRuns;
        // The time of the drain request.
        std::optional<instant> leavingSince;
        // Attempts whose refusal has been checked; a repeated refusal is not checked again.
        std::set<kumquat::attempt_id> checkedRefusals;
        // Attempts that were offered and for which the sidecar has sent no final message.
        std::set<kumquat::attempt_id> openAttempts;
        // The iteration end for which an event is scheduled.
        std::optional<instant> scheduledIterationEnd;
    };

    void addEntry(std::uint32_t index);
    void addSidecar(const std::string& service, kumquat::service_kind, std::uint32_t index);
    void startEntry(entry_process&);
    void startSidecar(sidecar_process&);
    std::vector<kumquat::instance> listInstances() const;
    // Sends the current instance list to all entries after network_model::instanceListDelay.
    void publishInstanceList();
    // Reports the upstream's health to the sidecar and schedules the next probe.
    void probe(sidecar_process&);

    void scheduleCallers();
    void sendRequest(std::size_t caller);
    // Disconnects a caller at its disconnectsAt time, unless its request has ended.
    void disconnect(std::size_t caller);

    void scheduleFault(const fault&);
    void apply(const engine_crash&);
    void apply(const engine_slowdown&);
    void apply(const sidecar_drain&);
    void apply(const sidecar_restart&);
    void apply(const entry_restart&);
    void apply(const sidecar_pause&);
    void apply(const entry_pause&);
    // planArrivals() adds these callers, so there is no event to apply.
    void apply(const crashing_caller&) { }

    void step(entry_process&, const kumquat::entry_event&);
    void step(sidecar_process&, const kumquat::sidecar_event&);
    template <typename Process>
    void scheduleTimer(Process&);
    template <typename Process>
    void fireTimer(Process&);
    void pause(process&, duration);
    // Runs an action of a process at once, or at the end of its pause.
    void runUnlessPaused(process&, event_queue::action);
    // Runs the deferred actions at the end of a pause.
    void runBacklog(process&);
    // Runs an action after a delay, unless the process restarts or stops before that.
    void runAfter(process&, duration, event_queue::action);

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
    // The simulation ignores all other effects, such as logs and metrics.
    template <typename Process, typename Other>
    void perform(Process&, const Other&) { }

    void callUpstream(sidecar_process&, const kumquat::start_run&);
    void scheduleIteration(sidecar_process&);
    void finishIteration(sidecar_process&);
    void crashEngine(sidecar_process&, const caller_record* cause);
    bool isUp(const sidecar_process&) const;
    caller_record* callerOf(const std::string& contentType);
    // Counts down the open callers when a request ends.
    void countEnd(const caller_record&);

    scenario m_plan;
    compared_policy m_policy;
    offer_mutator m_mutateOffer;
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
