#pragma once

#include "core/timer_queue.h"
#include "servers/config/document_manager.h"
#include "servers/sidecar/attempt_record.h"
#include "servers/sidecar/entry_tracker.h"
#include "servers/sidecar/sidecar_effect.h"
#include "servers/sidecar/sidecar_options.h"
#include "servers/sidecar/slot_scheduler.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace kumquat {

// The state machine of a sidecar, which decides what runs on one upstream. No other process starts runs there. An attempt
// that was refused, or withdrawn before it started, never runs. Any other attempt is executed at most once. If it is
// preempted, it is executed in several runs, each of which continues after the output of the previous ones.
class sidecar_reducer {
public:
    explicit sidecar_reducer(sidecar_options);

    // Applies one event and appends the effects that the process has to execute, in order.
    void step(const sidecar_event&, instant now, sidecar_effects&);

    // Returns the time at which step() has to be called with timer_due, or nothing. May change with every step.
    std::optional<instant> nextDeadline() const;

    // State for the admin port's dump and for tests.
    const sidecar_options& options() const { return m_options; }
    const std::map<attempt_id, attempt_record>& attempts() const { return m_attempts; }
    std::uint32_t runningCount() const { return static_cast<std::uint32_t>(m_runs.size()); }
    const document_manager& documentManager() const { return m_documentManager; }
    std::size_t queuedCount() const { return m_scheduler->queuedCount(); }
    const slot_scheduler& scheduler() const { return *m_scheduler; }
    const scheduling_invariants& invariants() const { return m_scheduler->invariants(); }
    bool draining() const { return m_draining; }
    bool healthy() const { return m_healthy; }
    std::uint64_t generation() const { return m_scheduler->generation(); }
    report makeReport() const;

private:
    void handle(const peer_received&);
    void handle(const run_head&);
    void handle(const run_output&);
    void handle(const run_finished&);
    void handle(const run_failed&);
    void handle(const upstream_probed&);
    void handle(const document_received&);
    void handle(const drain_requested&);
    void handle(const timer_due&);
    void handle(const sidecar_document_event&);

    void receive(const offer&);
    void receive(const withdraw&);
    void receive(const acknowledge&);
    void receive(const subscribe&);
    void receive(const claim_query&);
    void receive(const document_request&);
    void receive(const document_difference&);
    void receive(const full_document&);
    // Messages that are only addressed to entries are ignored.
    template <typename Other>
    void receive(const Other&) { }

    void admit(attempt_record&);
    // Executes and clears the scheduler's actions in m_actions.
    void executeActions();
    void execute(const begin_attempt&);
    void execute(const preempt_attempt&);
    void execute(const drop_attempt&);
    void refuse(attempt_record&, error_code, std::string message, std::chrono::milliseconds retryAfter);
    void endAttempt(attempt_record&, attempt_state);
    void sendState(const attempt_record&, std::uint32_t firstChunk);
    void sendChunk(const attempt_record&, std::uint32_t sequence);
    void withdrawAttempt(attempt_record&);
    void endDelivery(attempt_record&);
    void discardAnswer(attempt_record&);
    void recordMessageFrom(const peer_identity&);
    void cancelWorkOfSilentEntries();
    // Sends a report to all subscribers immediately.
    void publishReport();
    // Sends a report to the subscribers whose report interval has passed.
    void publishDueReports();
    void sendReport(const std::vector<peer_identity>& receivers);
    void scheduleReport();
    void publishReportOnLargeChange();
    void stepDocumentManager(const document_event&);
    claim_status claimStatusOf(const attempt_record&) const;
    void reportViolations();
    void stopWhenDrained();
    attempt_record* findRunning(run_id);
    answer_header headerOf(const attempt_record&) const;
    void send(const std::string& address, peer_message);
    void count(std::string name, metric_labels = {});
    void log(log_level, std::string name, const attempt_record&, std::vector<std::pair<std::string, std::string>> extraFields = {});

    sidecar_options m_options;
    document_manager m_documentManager;
    std::unique_ptr<slot_scheduler> m_scheduler;
    schedule_actions m_actions;
    std::map<attempt_id, attempt_record> m_attempts;
    std::unordered_map<run_id, attempt_id> m_runs;
    timer_queue<attempt_id> m_tombstones;
    entry_tracker m_entries;
    std::optional<instant> m_nextReportAt;
    std::optional<instant> m_drainDeadline;
    std::uint32_t m_lastReportedLoad = 0;
    std::uint64_t m_reportedSuspectsVersion = 0;
    std::uint64_t m_reportedViolations = 0;
    run_id m_nextRun = 1;
    bool m_draining = false;
    bool m_healthy = true;
    bool m_stopped = false;

    // Set by step() for the functions that it calls.
    instant m_now;
    sidecar_effects* m_effects = nullptr;
};

} // namespace kumquat
