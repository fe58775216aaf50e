#include "servers/router/router_reducer.h"

#include <algorithm>

// What a router believes when the store is restored from an older copy: which answers it uses, which configuration stays in
// force, and how long the last confirmation of that configuration holds.

namespace kumquat::router {

bool router_reducer::followEra(std::optional<std::uint64_t> era)
{
    if (!era || era == m_storeEra)
        return true;
    const bool nothingRead = !m_storeEra && !m_upstreamsListed && !m_config;
    if (nothingRead) {
        m_storeEra = era;
        return true;
    }
    if (!m_storeEra || *era > *m_storeEra) {
        enterEra(*era);
        return false;
    }
    log(log_level::warning, "store_answer_outdated", { { "era", std::to_string(*era) }, { "current_era", std::to_string(*m_storeEra) } });
    m_upstreamWatcher.relist();
    m_configWatcher.relist();
    return false;
}

void router_reducer::enterEra(std::uint64_t era)
{
    log(log_level::warning, "store_restored", { { "era", std::to_string(era) }, { "records", toString(positionOf(m_upstreamWatcher.revision())) }, { "config", std::to_string(m_config ? m_config->version : 0) } });
    // A confirmation states that no newer configuration existed at a time, which a restore does not change. It is kept until it
    // is too old, but answers of the restored store renew it only if they have the configuration in force.
    m_confirmedBeforeRestore = ownConfirmedAt();
    m_storedConfigVersion = 0;
    m_storeEra = era;
    m_storeHealthySince = m_now;
    cancelRead(store_kind::upstreams);
    cancelRead(store_kind::configuration);
    m_upstreamWatcher.restart();
    m_configWatcher.restart();
    m_confirmation = {};
    m_refusalStore.saveAgain();
    restartVersionHistory();
}

// The era is adopted only from the store's own answer, so that a damaged digest can't make this router reject the store.
void router_reducer::checkPeerEra(std::uint64_t reported)
{
    if (!m_storeEra || reported <= std::max(*m_storeEra, m_reportedEra))
        return;
    m_reportedEra = reported;
    log(log_level::warning, "store_restore_reported", { { "era", std::to_string(reported) }, { "current_era", std::to_string(*m_storeEra) } });
    cancelRead(store_kind::upstreams);
    cancelRead(store_kind::configuration);
    m_upstreamWatcher.relist();
    m_configWatcher.relist();
}

bool router_reducer::configIsNewest() const
{
    return m_config && !m_peers.knowsLostConfig(m_configPosition, m_config->version);
}

} // namespace kumquat::router
