#include "servers/sidecar/load_tally.h"

#include <algorithm>

namespace kumquat {

void load_tally::queued(attempt_record& record)
{
    leave(record);
    record.remainingTokens = record.request.expectedTokens - std::min(record.request.expectedTokens, record.producedTokens);
    enter(record, load_stage::queued);
}

void load_tally::started(attempt_record& record)
{
    leave(record);
    enter(record, load_stage::running);
}

void load_tally::produced(attempt_record& record, std::uint32_t tokens)
{
    const auto counted = std::min(tokens, record.remainingTokens);
    record.remainingTokens -= counted;
    if (record.counted != load_stage::none)
        m_tiers.at(record.request.tierRank).expectedTokens -= counted;
}

void load_tally::ended(attempt_record& record)
{
    leave(record);
}

void load_tally::enter(attempt_record& record, load_stage stage)
{
    auto& load = m_tiers[record.request.tierRank];
    load.rank = record.request.tierRank;
    load.expectedTokens += record.remainingTokens;
    (stage == load_stage::queued ? load.queued : load.running)++;
    record.counted = stage;
}

void load_tally::leave(attempt_record& record)
{
    if (record.counted == load_stage::none)
        return;
    const auto position = m_tiers.find(record.request.tierRank);
    auto& load = position->second;
    load.expectedTokens -= record.remainingTokens;
    (record.counted == load_stage::queued ? load.queued : load.running)--;
    record.counted = load_stage::none;
    if (load.queued == 0 && load.running == 0)
        m_tiers.erase(position);
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
