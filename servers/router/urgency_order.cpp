#include "servers/router/urgency_order.h"

#include "core/routing_config.h"

#include <algorithm>
#include <set>

namespace kumquat::router {

namespace {

    constexpr std::size_t engineUrgencyLevels = 10;

} // namespace

urgency_order::urgency_order(const routing_config& config)
{
    std::set<std::optional<int>> organisationRanks { std::nullopt };
    for (const auto& [key, organisation] : config.keys)
        organisationRanks.insert(organisation.rank);
    std::set<rank_pair> ranks;
    for (const auto& [key, item] : config.routes()) {
        // Engines receive only requests of routes that name the parts of their prompt.
        if (!item.usesPromptCache)
            continue;
        for (const auto& rank : organisationRanks)
            ranks.insert(makeRankPair(item, rank));
    }
    m_ranks.assign(ranks.begin(), ranks.end());
}

urgency_order::rank_pair urgency_order::makeRankPair(const route& item, std::optional<int> organisationRank)
{
    return { organisationRank.value_or(item.rank), item.rank };
}

int urgency_order::urgencyOf(const route& item, std::optional<int> organisationRank) const
{
    const auto offset = std::lower_bound(m_ranks.begin(), m_ranks.end(), makeRankPair(item, organisationRank)) - m_ranks.begin();
    const auto position = static_cast<std::size_t>(offset);
    // If there are more ranks than urgency levels, the ranks are spread evenly over the levels.
    const auto urgency = m_ranks.size() <= engineUrgencyLevels ? position : position * engineUrgencyLevels / m_ranks.size();
    return static_cast<int>(std::min(urgency, engineUrgencyLevels - 1));
}

} // namespace kumquat::router
