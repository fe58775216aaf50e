#include "servers/duties/duty_reducer.h"

#include <algorithm>
#include <utility>

namespace kumquat::duties {

namespace {

    constexpr std::size_t maxDeputies = 2;
    // The other routers send their counts to a new holder within this time after it has announced itself.
    constexpr auto collectionDelay = std::chrono::milliseconds(1500);
    // A report ends this long before the lease, so that it has not arrived or can't arrive after the end.
    constexpr auto reportMargin = std::chrono::milliseconds(50);
    constexpr auto maxReportDuration = std::chrono::seconds(5);
    // A call to the store whose connection is not open by then has failed.
    constexpr auto maxStoreDelay = std::chrono::milliseconds(500);
    // Added to the age of an announcement that is passed on, for its way to the receiver. Without it, the last announcement of a dead
    // holder seems to grow younger on its way between the routers, and a takeover took 3 s longer.
    constexpr auto transitAllowance = std::chrono::milliseconds(100);

    lease_options leaseOptions(const duty_options& options)
    {
        return { options.holder, options.incarnation, options.settings.leaseDuration };
    }

    reporter_options reporterOptions(const duty_options& options)
    {
        const auto& settings = options.settings;
        return { settings.windowLength, settings.reportDeadline, std::min(settings.callsPerSecond, settings.dutyCallsPerSecond), options.incarnation, options.countsOf };
    }

    const char* causeOf(lease_change change)
    {
        switch (change) {
        case lease_change::lost_to_other:
            return "other_holder";
        case lease_change::lost_in_restore:
            return "store_restored";
        default:
            return "none";
        }
    }

} // namespace

duty_reducer::duty_reducer(duty_options options, instant now)
    : m_options(std::move(options))
    , m_lease(leaseOptions(m_options), now)
    , m_reporter(reporterOptions(m_options), now)
    , m_decideAt(now)
    , m_deadline(now)
    , m_now(now)
{
}

void duty_reducer::step(duty_event&& event, instant now, duty_effects& effects)
{
    m_now = now;
    m_effects = &effects;
    std::visit([this]<typename Event>(Event&& item) { on(std::forward<Event>(item)); }, std::move(event));
    advance();
    m_effects = nullptr;
}

void duty_reducer::advance()
{
    endLateCalls();
    callStore();
    updateValidity();
    sendReport();
    updateCollectors();
    updateDeadline();
}

std::optional<duty_announcement> duty_reducer::announcement(instant now) const
{
    if (m_lease.mayCall(now)) {
        duty_announcement own { .fencingToken = m_lease.record()->token, .collectors = { m_options.address }, .firstOpenWindow = m_reporter.firstOpenWindow(*m_lease.record()) };
        own.collectors.insert(own.collectors.end(), m_deputies.begin(), m_deputies.end());
        return own;
    }
    if (!m_heard || now - m_heard->madeAt > m_options.settings.leaseDuration)
        return std::nullopt;
    auto passedOn = m_heard->announcement;
    passedOn.age = std::chrono::ceil<std::chrono::milliseconds>(now - m_heard->madeAt) + transitAllowance;
    return passedOn;
}

void duty_reducer::on(announcement_heard&& heard)
{
    auto& announcement = heard.announcement;
    const auto madeAt = m_now - announcement.age;
    if (announcement.age > m_options.settings.leaseDuration)
        return;
    const bool isNewer = !m_heard || announcement.fencingToken > m_heard->announcement.fencingToken
        || (announcement.fencingToken == m_heard->announcement.fencingToken && madeAt > m_heard->madeAt);
    const auto token = m_lease.owned() ? m_lease.record()->token : 0;
    logChange(m_lease.onAnnouncement(announcement.fencingToken, madeAt, m_now));
    if (!isNewer || announcement.fencingToken <= token)
        return;
    m_isDeputy = std::find(announcement.collectors.begin(), announcement.collectors.end(), m_options.address) != announcement.collectors.end();
    m_lease.setDeputy(m_isDeputy);
    m_heard = heard_announcement { std::move(announcement), madeAt };
}

void duty_reducer::on(deputies_changed&& changed)
{
    const auto& present = changed.addresses;
    // Deputies that stay present are kept, since they have the counts.
    std::erase_if(m_deputies, [&](const std::string& address) { return std::find(present.begin(), present.end(), address) == present.end(); });
    for (const auto& address : present) {
        if (m_deputies.size() < maxDeputies && address != m_options.address && std::find(m_deputies.begin(), m_deputies.end(), address) == m_deputies.end())
            m_deputies.push_back(address);
    }
}

void duty_reducer::on(time_corrected&& corrected)
{
    m_reporter.setTimeOfDay(corrected.offset);
}

void duty_reducer::on(duty_store_answered&& answered)
{
    if (!m_storeCall || m_storeCall->call != answered.call)
        return;
    const auto* failed = std::get_if<duty_call_failed>(&answered.answer);
    takeStoreAnswer(answered.answer, answered.era, failed ? failed->reason : std::string());
}

void duty_reducer::on(usage_report_answered&& answered)
{
    if (!m_report || m_report->call != answered.call)
        return;
    endReport(answered.status, answered.reason);
    if (m_terminated && !answered.status && !answered.neverSent)
        m_lease.abandon();
    else if (m_terminated)
        m_lease.release();
}

void duty_reducer::on(execution_interrupted&& interrupted)
{
    m_lease.interrupt(m_now);
    log(log_level::warning, "duty_interrupted", { { "gap_ms", formatMilliseconds(interrupted.gap) }, { "owned", m_lease.owned() ? "true" : "false" } });
}

void duty_reducer::on(duties_terminated&&)
{
    m_terminated = true;
    // A successor may call as soon as the lease is released, so the report in progress has to be answered first.
    if (!m_report)
        m_lease.release();
}

void duty_reducer::endLateCalls()
{
    if (m_report && m_now >= reportLimit()) {
        m_effects->emplace_back(cancel_duty_call { m_report->call });
        endReport(std::nullopt, "timeout");
        if (m_terminated)
            m_lease.abandon();
    }
    if (m_storeCall && m_now >= m_storeCall->startedAt + m_options.settings.leaseDuration / 2) {
        m_effects->emplace_back(cancel_duty_call { m_storeCall->call });
        takeStoreAnswer(duty_call_failed { "timeout" }, std::nullopt, "timeout");
    }
}

// The report in progress has to end by then.
instant duty_reducer::reportLimit() const
{
    const auto leaseEnd = m_lease.owned() && m_lease.validUntil() ? *m_lease.validUntil() - reportMargin : m_now;
    return std::min(leaseEnd, m_report->startedAt + maxReportDuration);
}

void duty_reducer::callStore()
{
    if (!m_reporter.knowsTimeOfDay())
        return;
    const auto next = m_lease.nextStep(isDecisionDue(), m_now);
    if (next == lease_step::wait)
        return;
    m_storeCall = call_in_progress { ++m_lastCall, m_now };
    auto request = next == lease_step::read ? m_lease.beginRead(m_now) : m_lease.beginWrite(nextContent(), m_now);
    count(next == lease_step::read ? "kumquat_router_store_reads_total" : "kumquat_router_store_writes_total", { { "kind", "duties" } });
    const auto sendBefore = m_now + maxStoreDelay;
    m_effects->emplace_back(call_duty_store { m_storeCall->call, std::move(request), next == lease_step::read ? sendBefore : std::min(sendBefore, m_lease.writeBefore()) });
}

record_content duty_reducer::nextContent() const
{
    if (m_lease.followsRestore())
        return m_reporter.renewRestored(m_lease.record(), m_lease.eraSeenAt(), m_now);
    return m_reporter.renew(m_lease.record(), decides(), m_now);
}

void duty_reducer::takeStoreAnswer(const duty_store_answer& answer, std::optional<std::uint64_t> era, const std::string& failure)
{
    m_storeCall.reset();
    const auto before = m_lease.owned() ? std::optional(*m_lease.record()) : std::nullopt;
    const auto change = m_lease.onAnswer(answer, era, m_now);
    if (!failure.empty())
        log(log_level::warning, "duty_store_failed", { { "reason", failure }, { "owned", m_lease.owned() ? "true" : "false" } });
    if (change == lease_change::acquired)
        m_hasCounts = m_isDeputy;
    logChange(change);
    if (!m_lease.owned())
        return;
    m_reporter.confirm(*m_lease.record());
    if (before)
        logDecisions(*before, *m_lease.record());
}

void duty_reducer::sendReport()
{
    if (m_terminated || m_report || !m_lease.mayCall(m_now))
        return;
    const auto leaseEnd = *m_lease.validUntil() - reportMargin;
    if (leaseEnd - m_now < m_options.settings.leaseDuration / 4)
        return;
    auto report = m_reporter.nextReport(*m_lease.record(), m_now);
    if (!report)
        return;
    m_lease.recordCall(m_now);
    m_report = call_in_progress { ++m_lastCall, m_now, report->window };
    m_effects->emplace_back(send_usage_report { m_report->call, std::move(*report), m_options.holder, leaseEnd });
}

void duty_reducer::endReport(std::optional<int> status, const std::string& reason)
{
    m_lease.recordCall(m_now);
    const auto window = std::to_string(m_report->window);
    const auto sinceEnd = formatMilliseconds(m_reporter.timeSinceEnd(m_report->window, m_now));
    m_report.reset();
    if (m_reporter.onAnswer(status, m_now)) {
        count("kumquat_router_usage_reports_total", { { "outcome", "accepted" } });
        return log(log_level::info, "usage_report_accepted", { { "window", window }, { "since_end_ms", sinceEnd } });
    }
    count("kumquat_router_usage_reports_total", { { "outcome", "failed" } });
    log(log_level::warning, "usage_report_failed", { { "window", window }, { "reason", status ? "status " + std::to_string(*status) : reason }, { "since_end_ms", sinceEnd } });
}

// The lease expires without an event, and is valid again after a renewal.
void duty_reducer::updateValidity()
{
    const bool isValid = m_lease.mayCall(m_now);
    if (std::exchange(m_wasValid, isValid) == isValid)
        return;
    m_effects->emplace_back(gauge_metric { "kumquat_router_duty_holder", {}, isValid ? 1.0 : 0.0 });
    if (isValid) {
        // The others stop sending their counts when they hear no announcement for a time.
        if (!m_hasCounts && (!m_invalidSince || m_now - *m_invalidSince >= m_options.settings.leaseDuration))
            m_decideAt = m_now + collectionDelay;
        m_hasCounts = false;
        return log(log_level::info, "duty_lease_valid", { { "token", std::to_string(m_lease.record()->token) } });
    }
    m_invalidSince = m_now;
    if (m_lease.owned() && !m_terminated)
        log(log_level::warning, "duty_lease_expired", { { "token", std::to_string(m_lease.record()->token) } });
}

void duty_reducer::updateCollectors()
{
    const auto current = announcement(m_now);
    if (!current || current->collectors == m_collectors)
        return;
    m_collectors = current->collectors;
    m_effects->emplace_back(collectors_changed { m_collectors });
}

void duty_reducer::updateDeadline()
{
    m_deadline.reset();
    const auto include = [this](std::optional<instant> time) {
        if (time && (!m_deadline || *time < *m_deadline))
            m_deadline = time;
    };
    if (!m_reporter.knowsTimeOfDay())
        return;
    include(m_lease.nextStepAt(isDecisionDue()));
    if (m_storeCall)
        include(m_storeCall->startedAt + m_options.settings.leaseDuration / 2);
    if (m_report)
        include(reportLimit());
    if (!m_lease.mayCall(m_now))
        return;
    include(m_lease.validUntil());
    const auto decisionAt = std::max(m_decideAt, m_reporter.nextDecisionAt(*m_lease.record()));
    if (decisionAt > m_now)
        include(decisionAt);
    // A report that waits for a longer lease is sent after the next renewal.
    const auto reportAt = m_reporter.nextReportAt(*m_lease.record(), m_now);
    if (reportAt && *reportAt > m_now)
        include(reportAt);
}

void duty_reducer::logChange(lease_change change)
{
    if (change == lease_change::none)
        return;
    const auto* record = m_lease.record();
    const auto token = record ? std::to_string(record->token) : "none";
    if (change == lease_change::acquired) {
        count("kumquat_router_duty_lease_changes_total", { { "change", "acquired" } });
        return log(log_level::info, "duty_lease_acquired", { { "token", token }, { "era", std::to_string(record->era) }, { "after", record->earlierHolders.empty() ? "none" : record->earlierHolders.front() } });
    }
    if (change == lease_change::released) {
        count("kumquat_router_duty_lease_changes_total", { { "change", "released" } });
        return log(log_level::info, "duty_lease_released", { { "token", token } });
    }
    count("kumquat_router_duty_lease_changes_total", { { "change", "lost" } });
    log(log_level::warning, "duty_lease_lost", { { "cause", causeOf(change) }, { "record_token", token }, { "record_holder", record ? record->holder : "none" } });
}

void duty_reducer::logDecisions(const duty_record& before, const duty_record& after)
{
    const auto find = [](const duty_record& record, std::uint64_t window) {
        return std::find_if(record.windows.begin(), record.windows.end(), [window](const decided_window& item) { return item.window == window; });
    };
    std::uint64_t decided = 0;
    for (const auto& item : after.windows) {
        if (item.window < before.firstUndecided || item.delivered)
            continue;
        ++decided;
        std::uint64_t requests = 0;
        for (const auto& [organisation, number] : item.counts)
            requests += number;
        count("kumquat_router_usage_windows_total", { { "outcome", "decided" } });
        log(log_level::info, "usage_window_decided", { { "window", std::to_string(item.window) }, { "organisations", std::to_string(item.counts.size()) }, { "requests", std::to_string(requests) } });
    }
    const auto skip = [this](const std::string& window, std::uint64_t number, const char* cause) {
        m_effects->emplace_back(count_metric { "kumquat_router_usage_windows_total", { { "outcome", "skipped" } }, static_cast<double>(number) });
        log(log_level::warning, "usage_window_skipped", { { "window", window }, { "windows", std::to_string(number) }, { "cause", cause } });
    };
    if (after.firstUndecided > before.firstUndecided + decided)
        skip(std::to_string(before.firstUndecided), after.firstUndecided - before.firstUndecided - decided, "not_decided_in_time");
    for (const auto& item : before.windows) {
        if (!m_reporter.isDelivered(item.window) && find(after, item.window) == after.windows.end())
            skip(std::to_string(item.window), 1, "not_accepted_in_time");
    }
}

void duty_reducer::log(log_level level, const char* name, std::vector<std::pair<std::string, std::string>> fields)
{
    m_effects->emplace_back(log_event { level, name, std::move(fields) });
}

} // namespace kumquat::duties
