#include "servers/router/upstream_table.h"

#include "core/hash.h"

#include <algorithm>

namespace kumquat::router {

table_change upstream_table::put(const upstream_record& record, std::uint64_t revision, instant now)
{
    const auto existing = find(record.id);
    if (existing) {
        existing->expiresAt.reset();
        const bool restarted = existing->record.startedUnixMs != record.startedUnixMs || existing->record.address != record.address;
        if (!restarted && existing->record.service == record.service) {
            if (revision < existing->revision)
                return table_change::none;
            existing->revision = revision;
            existing->readAt = now;
            const bool changed = existing->record != record;
            const bool startsLeaving = record.leaving && !existing->record.leaving;
            existing->record = record;
            if (startsLeaving)
                return table_change::leaving;
            return changed ? table_change::updated : table_change::none;
        }
        remove(record.id);
    }
    auto added = std::make_shared<upstream_state>();
    added->record = record;
    added->revision = revision;
    added->readAt = now;
    added->key = static_cast<std::uint32_t>(hashBytes(record.id));
    m_byId.emplace(record.id, added);
    m_byKey.insert_or_assign(added->key, added);
    auto& serviceUpstreams = m_byService[record.service];
    const auto position = std::lower_bound(serviceUpstreams.begin(), serviceUpstreams.end(), record.id, [](const shared_upstream& item, const std::string& id) { return item->record.id < id; });
    serviceUpstreams.insert(position, std::move(added));
    return existing ? table_change::restarted : table_change::added;
}

shared_upstream upstream_table::remove(const std::string& id)
{
    const auto removed = find(id);
    if (!removed)
        return nullptr;
    m_byId.erase(id);
    m_byKey.erase(removed->key);
    std::erase(m_byService[removed->record.service], removed);
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
