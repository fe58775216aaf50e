#include "servers/router/upstream_table.h"

#include "core/hash.h"

#include <algorithm>

namespace kumquat::router {

table_change upstream_table::put(const upstream_record& record, std::uint64_t revision, instant now)
{
    const auto known = find(record.id);
    if (known) {
        known->expiresAt.reset();
        const bool restarted = known->record.startedUnixMs != record.startedUnixMs || known->record.address != record.address;
        if (!restarted && known->record.service == record.service) {
            if (revision < known->revision)
                return table_change::none;
            known->revision = revision;
            known->readAt = now;
            const bool changed = known->record != record;
            const bool leaves = record.leaving && !known->record.leaving;
            known->record = record;
            if (leaves)
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
    auto& peers = m_byService[record.service];
    const auto position = std::lower_bound(peers.begin(), peers.end(), record.id, [](const shared_upstream& item, const std::string& id) { return item->record.id < id; });
    peers.insert(position, std::move(added));
    return known ? table_change::restarted : table_change::added;
}

shared_upstream upstream_table::remove(const std::string& id)
{
    const auto known = find(id);
    if (!known)
        return nullptr;
    m_byId.erase(id);
    m_byKey.erase(known->key);
    std::erase(m_byService[known->record.service], known);
    return known;
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
