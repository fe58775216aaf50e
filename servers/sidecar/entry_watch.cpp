#include "servers/sidecar/entry_watch.h"

namespace kumquat {

entry_watch::watched_entry* entry_watch::find(const peer_identity& identity)
{
    const auto found = m_entries.find(keyOf(identity));
    return found == m_entries.end() ? nullptr : &found->second;
}

void entry_watch::heard(const peer_identity& identity, instant now)
{
    auto& entry = m_entries[keyOf(identity)];
    entry.identity = identity;
    entry.lastHeard = now;
}

bool entry_watch::subscribe(const peer_identity& identity, std::chrono::milliseconds reportInterval, instant now)
{
    heard(identity, now);
    auto& entry = m_entries.at(keyOf(identity));
    const bool isNew = !entry.subscribed;
    entry.subscribed = true;
    entry.reportInterval = reportInterval;
    if (isNew)
        entry.reportedAt = now;
    return isNew;
}

void entry_watch::began(const peer_identity& identity, const attempt_id& attempt)
{
    if (auto* entry = find(identity))
        entry->waitingFor.insert(attempt);
}

void entry_watch::ended(const peer_identity& identity, const attempt_id& attempt)
{
    if (auto* entry = find(identity))
        entry->waitingFor.erase(attempt);
}

void entry_watch::keptAnswer(const peer_identity& identity, const attempt_id& attempt)
{
    auto* entry = find(identity);
    if (entry && entry->unacknowledged.insert(attempt).second)
        m_unacknowledged++;
}

void entry_watch::droppedAnswer(const peer_identity& identity, const attempt_id& attempt)
{
    auto* entry = find(identity);
    if (entry && entry->unacknowledged.erase(attempt) > 0)
        m_unacknowledged--;
}

std::vector<attempt_id> entry_watch::takeAbandoned(instant now)
{
    std::vector<attempt_id> abandoned;
    std::erase_if(m_entries, [&](const auto& item) {
        const auto& entry = item.second;
        if (entry.lastHeard + m_timeout > now)
            return false;
        abandoned.insert(abandoned.end(), entry.waitingFor.begin(), entry.waitingFor.end());
        m_unacknowledged -= entry.unacknowledged.size();
        return true;
    });
    return abandoned;
}

std::vector<peer_identity> entry_watch::takeSubscribers(instant now)
{
    std::vector<peer_identity> identities;
    for (auto& [key, entry] : m_entries) {
        if (!entry.subscribed)
            continue;
        entry.reportedAt = now;
        identities.push_back(entry.identity);
    }
    return identities;
}

std::vector<peer_identity> entry_watch::takeDueSubscribers(instant now)
{
    std::vector<peer_identity> identities;
    for (auto& [key, entry] : m_entries) {
        if (!entry.subscribed || entry.reportedAt + entry.reportInterval > now)
            continue;
        entry.reportedAt = now;
        identities.push_back(entry.identity);
    }
    return identities;
}

} // namespace kumquat
