#include "servers/entry/entry_reducer.h"

#include <algorithm>

namespace kumquat {

namespace {

    // Size of one report on the wire, see docs/design/routing.md.
    constexpr std::size_t reportBytes = 200;
    // A sidecar considers an entry dead after 10 s without a message. Two intervals fit into this time, so that one lost
    // subscription has no effect.
    constexpr std::chrono::milliseconds maxSubscribeInterval { 4500 };

} // namespace

void entry_reducer::receive(const report& message)
{
    m_directory.applyReport(message, m_now);
    m_suspects.merge(message, m_now);
    stepDocumentManager(peer_version_seen { message.from, { message.generation, message.documentHash } });
}

void entry_reducer::handle(const instances_listed& event)
{
    stepDocumentManager(document_peers_listed { event.instances });
    m_instances = event.instances;
    m_entryAddresses.clear();
    m_entryIds = { m_options.id };
    for (const auto& item : event.instances) {
        if (item.role != "entry" || item.id == m_options.id || item.leaving)
            continue;
        m_entryIds.push_back(item.id);
        m_entryAddresses.emplace(item.id, item.address);
    }
    subscribeToAll();
}

void entry_reducer::renewLeases()
{
    const auto demands = m_limiter.collectDemands(m_now);
    m_leaseAllocator.removeExpired(m_now);
    std::map<std::string, std::vector<lease_demand>> demandsByAllocator;
    for (const auto& demand : demands)
        demandsByAllocator[allocatingEntryOf(demand.organisation, m_entryIds)].push_back(demand);
    for (const auto& [allocatingEntry, entryDemands] : demandsByAllocator) {
        if (allocatingEntry == m_options.id)
            receive(grantLeases(allocatingEntry, entryDemands));
        else
            m_effects->push_back(send_to_entry { m_entryAddresses.at(allocatingEntry), lease_request { self(), entryDemands } });
    }
    m_nextLeaseRenewal.reset();
    if (!demands.empty())
        m_nextLeaseRenewal = m_now + m_options.leaseTime / 2;
}

lease_grant entry_reducer::grantLeases(const std::string& entryId, const std::vector<lease_demand>& demands)
{
    lease_grant grant { .from = self(), .validFor = m_options.leaseTime };
    for (const auto& demand : demands) {
        const auto* limitedOrganisation = m_document ? m_document->findOrganisation(demand.organisation) : nullptr;
        // Entries with different lists of instances may select different allocating entries. This entry grants only what it
        // allocates according to its own list.
        if (limitedOrganisation && allocatingEntryOf(demand.organisation, m_entryIds) == m_options.id)
            grant.shares.push_back(m_leaseAllocator.grant(*limitedOrganisation, entryId, demand, m_entryIds.size(), m_now));
    }
    return grant;
}

void entry_reducer::receive(const lease_request& message)
{
    auto grant = grantLeases(message.from.id, message.demands);
    if (!grant.shares.empty())
        m_effects->push_back(send_to_entry { message.from.address, std::move(grant) });
}

void entry_reducer::receive(const lease_grant& message)
{
    for (const auto& share : message.shares)
        m_limiter.applyShare(share, message.validFor, m_now);
}

void entry_reducer::refreshSubset()
{
    subset_request request {
        .entryId = m_options.id,
        .dataCentre = m_options.dataCentre,
        .entryCount = m_entryAddresses.size() + 1,
        .notReporting = m_directory.findNotReporting(m_now),
        .options = m_options.subset,
    };
    auto selected = chooseSubset(m_instances, request);
    // Sidecars that do not report may do so again, and leaving ones may still run requests of this entry. Both stay in the
    // directory.
    for (const auto& item : m_instances) {
        const bool isUnselectable = item.leaving || request.notReporting.contains(item.id);
        if (item.role == "sidecar" && isUnselectable && m_directory.find(item.id))
            selected.push_back(item);
    }
    m_directory.applyList(selected, m_now);
    constexpr int reportIntervalsPerTimeout = 3;
    m_directory.setReportTimeout(std::max(m_options.reportTimeout, reportInterval() * reportIntervalsPerTimeout));
}

std::chrono::milliseconds entry_reducer::reportInterval() const
{
    const std::chrono::milliseconds affordableInterval { m_directory.all().size() * reportBytes * 1000 / std::max(1U, m_options.reportBytesPerSecond) };
    return std::max(m_options.subscribeInterval, affordableInterval);
}

void entry_reducer::subscribeToAll()
{
    refreshSubset();
    const auto interval = reportInterval();
    for (const auto& [id, upstream] : m_directory.all())
        m_effects->push_back(send_to_sidecar { upstream.address, subscribe { self(), generation(), m_documentManager.version().hash, interval } });
    m_nextSubscriptionAt = m_now + std::min(interval, maxSubscribeInterval);
}

} // namespace kumquat
