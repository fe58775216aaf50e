#include "servers/sidecar/load_tally.h"

namespace kumquat {

void load_tally::add(stage where, std::uint32_t tierRank, std::uint32_t expectedTokens)
{
    auto& load = m_tiers[tierRank];
    load.rank = tierRank;
    load.expectedTokens += expectedTokens;
    (where == stage::queued ? load.queued : load.running)++;
}

void load_tally::remove(stage where, std::uint32_t tierRank, std::uint32_t expectedTokens)
{
    const auto position = m_tiers.find(tierRank);
    auto& load = position->second;
    load.expectedTokens -= expectedTokens;
    (where == stage::queued ? load.queued : load.running)--;
    if (load.queued == 0 && load.running == 0)
        m_tiers.erase(position);
}

void load_tally::produced(std::uint32_t tierRank, std::uint32_t tokens)
{
    m_tiers.at(tierRank).expectedTokens -= tokens;
}

std::vector<tier_load> load_tally::tiers() const
{
    std::vector<tier_load> result;
    result.reserve(m_tiers.size());
    for (const auto& [rank, load] : m_tiers)
        result.push_back(load);
    return result;
}

} // namespace kumquat
