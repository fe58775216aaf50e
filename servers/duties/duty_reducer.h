#pragma once

#include "core/duty_announcement.h"
#include "core/duty_settings.h"
#include "servers/duties/duty_effect.h"
#include "servers/duties/duty_event.h"
#include "servers/duties/duty_lease.h"
#include "servers/duties/usage_reporter.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::duties {

struct duty_options {
    duty_settings settings;
    // The name and the host of this instance.
    std::string holder;
    std::string address;
    // A random number below 2^53 that differs between all processes of the fleet.
    std::uint64_t incarnation = 0;
    // The counts of all routers in a window, as far as they are known here.
    std::function<usage_counts(std::uint64_t window)> countsOf;
};

// Decides what a router does for the duties of the fleet: takes events and returns effects, without any input or output of its own.
class duty_reducer {
public:
    duty_reducer(duty_options, instant now);

    // Processes one event and appends its effects.
    void step(duty_event&&, instant now, duty_effects&);
    // The time of the next timer, at which duty_timer_due has to be passed in, or nothing.
    std::optional<instant> nextDeadline() const { return m_deadline; }

    // What the digests of this router say about the duties, or nothing if it knows of no holder.
    std::optional<duty_announcement> announcement(instant now) const;
    bool isHolder(instant now) const { return m_lease.mayCall(now); }
    // Whether the lease is being given up, so that the process should run on for a moment.
    bool isReleasing() const { return m_lease.isReleasing() || (m_terminated && m_report); }

private:
    struct heard_announcement {
        duty_announcement announcement;
        instant madeAt;
    };
    // A call to the store or to the platform's API.
    struct call_in_progress {
        std::uint64_t call = 0;
        instant startedAt;
        std::uint64_t window = 0;
    };

    void on(announcement_heard&&);
    void on(deputies_changed&&);
    void on(time_corrected&&);
    void on(duty_store_answered&&);
    void on(usage_report_answered&&);
    void on(execution_interrupted&&);
    void on(duties_terminated&&);
    void on(duty_timer_due&&) { }

    // Acts on what is due now.
    void advance();
    void endLateCalls();
    void callStore();
    record_content nextContent() const;
    void takeStoreAnswer(const duty_store_answer&, std::optional<std::uint64_t> era, const std::string& failure);
    void sendReport();
    void endReport(std::optional<int> status, const std::string& reason);
    void updateValidity();
    void updateCollectors();
    void updateDeadline();
    void logChange(lease_change);
    void logDecisions(const duty_record& before, const duty_record& after);
    bool decides() const { return m_lease.mayCall(m_now) && m_now >= m_decideAt; }
    bool isDecisionDue() const { return decides() && m_now >= m_reporter.nextDecisionAt(*m_lease.record()); }
    instant reportLimit() const;
    void log(log_level, const char* name, std::vector<std::pair<std::string, std::string>> fields);
    void count(const char* name, metric_labels labels = {}) { m_effects->emplace_back(count_metric { name, std::move(labels) }); }

    duty_options m_options;
    duty_lease m_lease;
    usage_reporter m_reporter;
    std::vector<std::string> m_deputies;
    std::vector<std::string> m_collectors;
    std::optional<heard_announcement> m_heard;
    // The newest announcement names this router among the collectors.
    bool m_isDeputy = false;
    std::optional<call_in_progress> m_storeCall;
    std::optional<call_in_progress> m_report;
    std::uint64_t m_lastCall = 0;
    // A new holder decides no window before the counts of the other routers have reached it.
    instant m_decideAt;
    // This router became the holder as a deputy, so that the counts have reached it already.
    bool m_hasCounts = false;
    bool m_wasValid = false;
    // When the lease last ceased to be valid.
    std::optional<instant> m_invalidSince;
    bool m_terminated = false;
    std::optional<instant> m_deadline;
    // Of the step in progress.
    instant m_now;
    duty_effects* m_effects = nullptr;
};

} // namespace kumquat::duties
