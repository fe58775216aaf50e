#include "servers/duties/usage_reporter.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace kumquat::duties {

namespace {

    // Counts of the other routers arrive within this time of the end of their window.
    constexpr auto decisionDelay = std::chrono::milliseconds(2500);
    constexpr duration initialPause = std::chrono::milliseconds(250);
    constexpr int maxPauseDoublings = 3;
    constexpr int statusOk = 200;
    // Only as many windows are remembered as can be of use after a restore of the store.
    constexpr std::size_t maxRememberedWindows = 64;

    template <typename Container>
    void dropOldest(Container& container)
    {
        while (container.size() > maxRememberedWindows)
            container.erase(container.begin());
    }

} // namespace

usage_reporter::usage_reporter(reporter_options options, instant now)
    : m_options(std::move(options))
    , m_calls(1, now)
    , m_retryAt(now)
{
    m_calls.setRate(m_options.callsPerSecond, 1, now);
}

instant usage_reporter::endOf(std::uint64_t window) const
{
    return instant(m_options.windowLength * static_cast<duration::rep>(window + 1) - m_offset.value_or(duration::zero()));
}

std::uint64_t usage_reporter::windowAt(instant time) const
{
    const auto sinceEpoch = time.time_since_epoch() + m_offset.value_or(duration::zero());
    return static_cast<std::uint64_t>(std::max<duration::rep>(0, sinceEpoch / m_options.windowLength));
}

duration usage_reporter::timeSinceEnd(std::uint64_t window, instant now) const
{
    return now - endOf(window);
}

void usage_reporter::decide(record_content& content, instant now) const
{
    // A window that ended too long ago is skipped.
    const auto firstInTime = windowAt(now - 2 * m_options.reportDeadline - m_options.windowLength);
    content.firstUndecided = std::max(content.firstUndecided, firstInTime);
    for (auto& next = content.firstUndecided; timeSinceEnd(next, now) >= decisionDelay; ++next) {
        if (!isTooLate(next, now))
            content.windows.push_back({ next, m_options.countsOf(next), false });
    }
}

record_content usage_reporter::renew(const duty_record* previous, bool decides, instant now) const
{
    record_content content;
    if (previous)
        content = { previous->windows, previous->firstUndecided };
    std::erase_if(content.windows, [&](const decided_window& item) { return item.delivered || isTooLate(item.window, now); });
    for (auto& item : content.windows) {
        if (m_delivered.contains(item.window))
            item = { item.window, {}, true };
    }
    if (decides)
        decide(content, now);
    return content;
}

record_content usage_reporter::renewRestored(const duty_record* previous, instant eraSeenAt, instant now) const
{
    // The windows of the previous record are not taken over: a late write of the era before may have put it there, which had lost
    // against another decision before the restore.
    record_content content;
    content.firstUndecided = std::max(previous ? previous->firstUndecided : 0, windowAt(eraSeenAt));
    for (const auto& [window, counts] : m_decided) {
        if (!m_delivered.contains(window) && !isTooLate(window, now))
            content.windows.push_back({ window, counts, false });
        content.firstUndecided = std::max(content.firstUndecided, window + 1);
    }
    return content;
}

instant usage_reporter::nextDecisionAt(const duty_record& current) const
{
    return endOf(current.firstUndecided) + decisionDelay;
}

void usage_reporter::confirm(const duty_record& record)
{
    for (const auto& item : record.windows) {
        if (item.delivered)
            m_delivered.insert(item.window);
        else
            m_decided.emplace(item.window, item.counts);
    }
    dropOldest(m_decided);
    dropOldest(m_delivered);
}

const decided_window* usage_reporter::firstUndelivered(const duty_record& current, instant now) const
{
    const auto isOpen = [&](const decided_window& item) { return !item.delivered && !m_delivered.contains(item.window) && !isTooLate(item.window, now); };
    const auto found = std::find_if(current.windows.begin(), current.windows.end(), isOpen);
    return found == current.windows.end() ? nullptr : &*found;
}

std::optional<usage_report> usage_reporter::nextReport(const duty_record& current, instant now)
{
    const auto* next = firstUndelivered(current, now);
    if (!next || m_reported || now < m_retryAt || !m_calls.hasToken(now))
        return std::nullopt;
    m_calls.take(now);
    m_reported = next->window;
    return usage_report { next->window, next->counts, current.token };
}

std::optional<instant> usage_reporter::nextReportAt(const duty_record& current, instant now) const
{
    if (m_reported || !firstUndelivered(current, now))
        return std::nullopt;
    const auto untilToken = m_calls.timeUntilToken(now);
    return untilToken ? std::optional(std::max(m_retryAt, now + *untilToken)) : std::nullopt;
}

std::optional<std::uint64_t> usage_reporter::onAnswer(std::optional<int> status, instant now)
{
    const auto window = std::exchange(m_reported, std::nullopt);
    if (!window)
        return std::nullopt;
    if (status == statusOk) {
        m_failures = 0;
        m_delivered.insert(*window);
        dropOldest(m_delivered);
        return window;
    }
    const duration pause = initialPause * (1 << std::min(m_failures++, maxPauseDoublings));
    m_retryAt = now + pause + duration(static_cast<duration::rep>(hashBytes(std::to_string(m_failures), m_options.seed) % static_cast<std::uint64_t>(pause.count())));
    return std::nullopt;
}

std::uint64_t usage_reporter::firstOpenWindow(const duty_record& current) const
{
    for (const auto& item : current.windows) {
        if (!item.delivered && !m_delivered.contains(item.window))
            return item.window;
    }
    return current.firstUndecided;
}

} // namespace kumquat::duties
