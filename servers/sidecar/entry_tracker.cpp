#include "servers/sidecar/entry_tracker.h"

namespace kumquat {

entry_tracker::tracked_entry* entry_tracker::find(const peer_identity& identity)
{
    const auto found = m_entries.find(keyOf(identity));
    return found == m_entries.end() ? nullptr : &found->second;
}

void entry_tracker::recordMessage(const peer_identity& identity, instant now)
{
    auto& entry = m_entries[keyOf(identity)];
    entry.identity = identity;
    entry.lastSeen = now;
}

bool entry_tracker::subscribe(const peer_identity& identity, std::chrono::milliseconds reportInterval, instant now)
{
    recordMessage(identity, now);
    auto& entry = m_entries.at(keyOf(identity));
    const bool isNew = !entry.subscribed;
    entry.subscribed = true;
    entry.reportInterval = reportInterval;
    if (isNew)
        entry.lastReportAt = now;
    return isNew;
}

void entry_tracker::addAttempt(const peer_identity& identity, const attempt_id& attempt)
{
    if (auto* entry = find(identity))
        entry->pendingAttempts.insert(attempt);
}

void entry_tracker::removeAttempt(const peer_identity& identity, const attempt_id& attempt)
{
    if (auto* entry = find(identity))
        entry->pendingAttempts.erase(attempt);
}

void entry_tracker::addUnacknowledgedAnswer(const peer_identity& identity, const attempt_id& attempt)
{
    auto* entry = find(identity);
    if (entry && entry->unacknowledgedAnswers.insert(attempt).second)
        m_unacknowledgedCount++;
}

void entry_tracker::removeUnacknowledgedAnswer(const peer_identity& identity, const attempt_id& attempt)
{
    auto* entry = find(identity);
    if (entry && entry->unacknowledgedAnswers.erase(attempt) > 0)
        m_unacknowledgedCount--;
}

std::vector<attempt_id> entry_tracker::removeSilentEntries(instant now)
{
    std::vector<attempt_id> pending;
    std::erase_if(m_entries, [&](const auto& item) {
        const auto& entry = item.second;
        if (entry.lastSeen + m_timeout > now)
            return false;
        pending.insert(pending.end(), entry.pendingAttempts.begin(), entry.pendingAttempts.end());
        m_unacknowledgedCount -= entry.unacknowledgedAnswers.size();
        return true;
    });
    return pending;
}

std::vector<peer_identity> entry_tracker::markAllReported(instant now)
{
    std::vector<peer_identity> identities;
    for (auto& [key, entry] : m_entries) {
        if (!entry.subscribed)
            continue;
        entry.lastReportAt = now;
        identities.push_back(entry.identity);
    }
    return identities;
}

std::vector<peer_identity> entry_tracker::markDueReported(instant now)
{
    std::vector<peer_identity> identities;
    for (auto& [key, entry] : m_entries) {
        if (!entry.subscribed || entry.lastReportAt + entry.reportInterval > now)
            continue;
        entry.lastReportAt = now;
        identities.push_back(entry.identity);
    }
    return identities;
}

} // namespace kumquat
