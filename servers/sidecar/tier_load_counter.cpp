#include "servers/sidecar/tier_load_counter.h"

namespace kumquat {

void tier_load_counter::add(stage attemptStage, std::uint32_t tierRank, std::uint32_t expectedTokens)
{
    auto& load = m_tiers[tierRank];
    load.rank = tierRank;
    load.expectedTokens += expectedTokens;
    (attemptStage == stage::queued ? load.queued : load.running)++;
}

void tier_load_counter::remove(stage attemptStage, std::uint32_t tierRank, std::uint32_t expectedTokens)
{
    const auto position = m_tiers.find(tierRank);
    auto& load = position->second;
    load.expectedTokens -= expectedTokens;
    (attemptStage == stage::queued ? load.queued : load.running)--;
    if (load.queued == 0 && load.running == 0)
        m_tiers.erase(position);
}

void tier_load_counter::subtractProduced(std::uint32_t tierRank, std::uint32_t tokens)
{
    m_tiers.at(tierRank).expectedTokens -= tokens;
}

std::uint32_t tier_load_counter::runningInLowerTiers(std::uint32_t tierRank) const
{
    std::uint32_t count = 0;
    for (auto position = m_tiers.upper_bound(tierRank); position != m_tiers.end(); ++position)
        count += position->second.running;
    return count;
}

std::vector<tier_load> tier_load_counter::tiers() const
{
    std::vector<tier_load> result;
    result.reserve(m_tiers.size());
    for (const auto& [rank, load] : m_tiers)
        result.push_back(load);
    return result;
}

} // namespace kumquat
