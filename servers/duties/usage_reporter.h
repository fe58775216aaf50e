#pragma once

#include "core/clock.h"
#include "core/token_bucket.h"
#include "core/usage_report.h"
#include "servers/duties/duty_lease.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace kumquat::duties {

struct reporter_options {
    duration windowLength {};
    // A report is due this long after the end of its window.
    duration reportDeadline {};
    double callsPerSecond = 0;
    // Differs between routers, so that they don't repeat failed calls at the same time.
    std::uint64_t seed = 0;
    // The counts of all routers in a window, as far as they are known here.
    std::function<usage_counts(std::uint64_t window)> countsOf;
};

// Decides which windows are fixed in the duty record and which report is sent next. The counts of a window are fixed by the record in
// the store, and each holder sends exactly these until the platform's API accepts them.
class usage_reporter {
public:
    usage_reporter(reporter_options, instant now);

    // Windows are measured in the time of day, which is this much more than the time of the monotonic clock.
    void setTimeOfDay(duration offset) { m_offset = offset; }
    bool knowsTimeOfDay() const { return m_offset.has_value(); }

    // What the next write of the record has to contain. `previous` is the record that it replaces, if there is one.
    record_content renew(const duty_record* previous, bool decides, instant now) const;
    // As renew, for a record that follows a restore of the store: windows that had ended by then may have been decided in a record
    // that is lost. Only those are decided again that this router knows to be decided, in the same way.
    record_content renewRestored(const duty_record* previous, instant eraSeenAt, instant now) const;
    // When the next window may be decided.
    instant nextDecisionAt(const duty_record& current) const;

    // The store has this record of the present era. Remembers the windows that are decided in it.
    void confirm(const duty_record&);

    // The report to send now, if one is due and the rate allows it. One is in progress at a time.
    std::optional<usage_report> nextReport(const duty_record& current, instant now);
    std::optional<instant> nextReportAt(const duty_record& current, instant now) const;
    bool reportInProgress() const { return m_reported.has_value(); }
    // Takes the status of the answer to the report in progress, or nothing if there was none. Returns the window if it was accepted.
    std::optional<std::uint64_t> onAnswer(std::optional<int> status, instant now);

    bool isDelivered(std::uint64_t window) const { return m_delivered.contains(window); }
    // The first window whose counts may still be needed.
    std::uint64_t firstOpenWindow(const duty_record& current) const;
    // The time since the end of a window.
    duration timeSinceEnd(std::uint64_t window, instant now) const;
    bool isTooLate(std::uint64_t window, instant now) const { return timeSinceEnd(window, now) > 2 * m_options.reportDeadline; }

private:
    instant endOf(std::uint64_t window) const;
    std::uint64_t windowAt(instant) const;
    const decided_window* firstUndelivered(const duty_record&, instant now) const;
    void decide(record_content&, instant now) const;

    reporter_options m_options;
    std::optional<duration> m_offset;
    // Decisions that the store has confirmed. Each window has at most one, also in records that are lost.
    std::map<std::uint64_t, usage_counts> m_decided;
    // Windows that the platform's API has accepted from this router.
    std::set<std::uint64_t> m_delivered;
    std::optional<std::uint64_t> m_reported;
    token_bucket m_calls;
    int m_failures = 0;
    instant m_retryAt;
};

} // namespace kumquat::duties
