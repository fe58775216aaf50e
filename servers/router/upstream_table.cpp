#include "servers/router/upstream_table.h"

#include "core/hash.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // How long a removed upstream is remembered. An upstream that has left may serve for this long after its removal.
    constexpr auto removalRetention = std::chrono::seconds(30);

    // Whether the record is of the same process at the same address, rather than of a successor.
    bool isSameProcess(const upstream_record& left, const upstream_record& right)
    {
        return left.startedUnixMs == right.startedUnixMs && left.address == right.address && left.service == right.service && left.version == right.version;
    }

    // Whether the record is of an earlier process than the known one and comes from the older copy of a restored store.
    bool isOutdatedByRestore(const upstream_record& record, store_position position, const upstream_state& known)
    {
        return position.era != known.position.era && record.startedUnixMs < known.record.startedUnixMs;
    }

} // namespace

std::uint64_t hashVersion(const std::string& service, const std::string& version)
{
    return hashBytes(version, hashBytes(service));
}

std::optional<duration> upstream_state::timeUntilAccepting(instant now) const
{
    const auto pause = std::max(duration {}, blockedUntil - now);
    if (!quota)
        return pause;
    const auto wait = quota->bucket.timeUntilToken(now);
    return wait ? std::optional(std::max(pause, *wait)) : std::nullopt;
}

table_change upstream_table::put(const upstream_record& record, store_position position, instant now)
{
    std::erase_if(m_removed, [now](const auto& item) { return now - item.second.removedAt > removalRetention; });
    const auto existing = find(record.id);
    if (existing && isSameProcess(existing->record, record))
        return update(*existing, record, position, now);
    if (existing && isOutdatedByRestore(record, position, *existing)) {
        existing->expiresAt.reset();
        return table_change::none;
    }
    if (existing)
        remove(record.id, now);
    if (const auto returned = reinstate(record, position)) {
        update(*returned, record, position, now);
        return table_change::added;
    }
    auto added = std::make_shared<upstream_state>();
    added->record = record;
    added->position = position;
    added->readAt = now;
    added->key = static_cast<std::uint32_t>(hashBytes(record.id));
    added->versionKey = hashVersion(record.service, record.version);
    if (record.leaving)
        added->leavingEra = position.era;
    inheritFromRemoved(*added);
    insert(std::move(added));
    return existing ? table_change::restarted : table_change::added;
}

table_change upstream_table::update(upstream_state& existing, const upstream_record& record, store_position position, instant now)
{
    existing.expiresAt.reset();
    if (position < existing.position)
        return table_change::none;
    existing.position = position;
    existing.readAt = now;
    const auto previous = existing.record;
    existing.record = record;
    if (record.leaving)
        existing.leavingEra = position.era;
    else if (existing.leavingEra == position.era)
        existing.leavingEra.reset();
    else if (existing.leavingEra)
        existing.record.leaving = true;
    if (existing.record.leaving && !previous.leaving)
        return table_change::leaving;
    return existing.record != previous ? table_change::updated : table_change::none;
}

shared_upstream upstream_table::reinstate(const upstream_record& record, store_position position)
{
    const auto found = m_removed.find(record.id);
    if (found == m_removed.end() || !isSameProcess(found->second.upstream->record, record))
        return nullptr;
    const auto [upstream, removedAt] = found->second;
    m_removed.erase(found);
    if (position.era != upstream->position.era)
        upstream->blockedUntil = std::max(upstream->blockedUntil, removedAt + removalRetention);
    insert(upstream);
    return upstream;
}

void upstream_table::inheritFromRemoved(upstream_state& added) const
{
    const auto found = m_removed.find(added.record.id);
    if (found == m_removed.end())
        return;
    const auto& predecessor = *found->second.upstream;
    if (isOutdatedByRestore(added.record, added.position, predecessor))
        added.blockedUntil = found->second.removedAt + removalRetention;
    const bool hasSameStart = added.record.startedUnixMs != 0 && added.record.startedUnixMs == predecessor.record.startedUnixMs;
    if (!hasSameStart)
        return;
    added.announcedLeaving = predecessor.announcedLeaving;
    added.blockedUntil = predecessor.blockedUntil;
    added.quota = predecessor.quota;
}

void upstream_table::insert(shared_upstream added)
{
    m_byId.emplace(added->record.id, added);
    m_byKey.insert_or_assign(added->key, added);
    auto& serviceUpstreams = m_byService[added->record.service];
    const auto position = std::lower_bound(serviceUpstreams.begin(), serviceUpstreams.end(), added->record.id, [](const shared_upstream& item, const std::string& id) { return item->record.id < id; });
    serviceUpstreams.insert(position, std::move(added));
}

shared_upstream upstream_table::remove(const std::string& id, instant now)
{
    const auto removed = find(id);
    if (!removed)
        return nullptr;
    m_byId.erase(id);
    m_byKey.erase(removed->key);
    std::erase(m_byService[removed->record.service], removed);
    m_removed.insert_or_assign(id, removed_upstream { removed, now });
    return removed;
}

shared_upstream upstream_table::find(const std::string& id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : found->second;
}

shared_upstream upstream_table::findByKey(std::uint32_t key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : found->second;
}

const std::vector<shared_upstream>& upstream_table::ofService(const std::string& service) const
{
    static const std::vector<shared_upstream> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

std::vector<shared_upstream> upstream_table::all() const
{
    std::vector<shared_upstream> items;
    items.reserve(m_byId.size());
    for (const auto& [id, item] : m_byId)
        items.push_back(item);
    return items;
}

} // namespace kumquat::router
