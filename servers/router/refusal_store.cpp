#include "servers/router/refusal_store.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace kumquat::router {

namespace {

    constexpr auto listInterval = std::chrono::milliseconds(1000);
    constexpr auto initialPause = std::chrono::milliseconds(500);
    constexpr int maxPauseDoublings = 4;
    // Older objects were left behind by routers that are gone.
    constexpr auto maxObjectAge = std::chrono::hours(2);
    constexpr std::size_t maxPendingWrites = 256;

} // namespace

void refusal_store::requestListOlderThan(duration age, instant now)
{
    m_listWanted = m_listWanted || now - m_listedAt >= age;
}

void refusal_store::save(const crash_suspect& suspect, instant lastCrashAt)
{
    if (m_writes.size() < maxPendingWrites)
        m_writes.push_back({ suspect, lastCrashAt, false });
}

void refusal_store::remove(const crash_suspect& suspect)
{
    const auto isOfSuspect = [&suspect](const pending_write& item) { return item.suspect == suspect; };
    std::erase_if(m_written, isOfSuspect);
    if (m_writes.size() < maxPendingWrites)
        m_writes.push_back({ suspect, std::nullopt, false });
}

void refusal_store::saveAgain()
{
    for (const auto& item : std::exchange(m_written, {}))
        m_writes.push_back(item);
}

std::optional<refusal_call> refusal_store::nextCall(instant now)
{
    if (m_callInProgress || now < m_nextCallAt)
        return std::nullopt;
    if (isListDue(now)) {
        m_callInProgress = true;
        return list_refusals { m_listAfter };
    }
    if (m_writes.empty())
        return std::nullopt;
    m_callInProgress = true;
    const auto& next = m_writes.front();
    if (!next.lastCrashAt)
        return remove_refusal { next.suspect };
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - *next.lastCrashAt);
    return save_refusal { { next.suspect, age }, next.replaces };
}

std::optional<instant> refusal_store::nextCallAt() const
{
    if (m_callInProgress || (!m_listWanted && m_writes.empty()))
        return std::nullopt;
    const auto due = m_writes.empty() ? m_nextListAt : instant();
    return std::max(due, m_nextCallAt);
}

std::vector<aged_suspect> refusal_store::onListed(store_read_outcome<aged_suspect>&& outcome, instant now)
{
    m_callInProgress = false;
    auto* page = std::get_if<store_page<aged_suspect>>(&outcome);
    if (!page) {
        delayAfterFailure(now);
        return {};
    }
    m_failures = 0;
    m_listAfter = page->more ? lastName(page->entries) : std::string();
    m_listWanted = !m_listAfter.empty();
    m_listedAt = now;
    if (!m_listWanted)
        m_nextListAt = now + listInterval;
    std::vector<aged_suspect> refused;
    for (const auto& entry : page->entries) {
        const auto* item = std::get_if<aged_suspect>(&entry.content);
        if (item && item->age > maxObjectAge)
            remove(item->suspect);
        else if (item)
            refused.push_back(*item);
    }
    return refused;
}

void refusal_store::onWritten(store_write_outcome outcome, instant now)
{
    m_callInProgress = false;
    if (m_writes.empty())
        return;
    auto& done = m_writes.front();
    if (outcome == store_write_outcome::failed)
        return delayAfterFailure(now);
    m_failures = 0;
    if (outcome == store_write_outcome::conflict && done.lastCrashAt) {
        done.replaces = !done.replaces;
        return;
    }
    if (done.lastCrashAt)
        m_written.push_back({ done.suspect, done.lastCrashAt, false });
    m_writes.pop_front();
}

void refusal_store::onTimeout(instant now)
{
    m_callInProgress = false;
    delayAfterFailure(now);
}

void refusal_store::delayAfterFailure(instant now)
{
    const duration pause = initialPause * (1 << std::min(m_failures++, maxPauseDoublings));
    const auto jitter = duration(static_cast<duration::rep>(hashBytes(std::to_string(m_failures), m_seed) % static_cast<std::uint64_t>(pause.count())));
    m_nextCallAt = now + pause + jitter;
}

} // namespace kumquat::router
