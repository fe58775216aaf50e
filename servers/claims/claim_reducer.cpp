#include "servers/claims/claim_reducer.h"

#include "core/hash.h"

#include <algorithm>

namespace kumquat {

claim_reducer::claim_reducer(claim_options options)
    : m_options(std::move(options))
{
    for (std::uint32_t shard = 0; shard < m_options.shards; ++shard)
        m_journals.emplace_back(shard, m_options);
}

void claim_reducer::step(const claim_event& event, instant now, claim_effects& effects)
{
    m_now = now;
    m_effects = &effects;
    for (auto& journal : m_journals)
        journal.expire(m_now);
    std::visit([this](const auto& concrete) { handle(concrete); }, event);
    for (auto& journal : m_journals)
        journal.startNextCall(m_now, effects);
    m_effects = nullptr;
}

std::optional<instant> claim_reducer::nextDeadline() const
{
    auto next = m_timers.nextDeadline();
    for (const auto& journal : m_journals) {
        const auto candidate = journal.nextDeadline(m_now);
        if (candidate && (!next || *candidate < *next))
            next = candidate;
    }
    return next;
}

std::size_t claim_reducer::keyCount() const
{
    std::size_t count = 0;
    for (const auto& journal : m_journals)
        count += journal.index().size();
    return count;
}

std::size_t claim_reducer::unstoredAnswerCount() const
{
    return static_cast<std::size_t>(std::count_if(m_grantedRuns.begin(), m_grantedRuns.end(), [](const auto& item) { return item.second.answer.has_value(); }));
}

std::uint32_t claim_reducer::shardOf(const std::string& key) const
{
    return static_cast<std::uint32_t>(hashBytes(key) % m_options.shards);
}

bool claim_reducer::isSelf(const peer_identity& claimant) const
{
    return claimant.id == m_options.self.id && claimant.incarnation == m_options.self.incarnation;
}

void claim_reducer::removeExpiredRuns()
{
    while (!m_grantOrder.empty() && m_grantOrder.front().first + 2 * m_options.retention <= m_now) {
        m_grantedRuns.erase(m_grantOrder.front().second);
        m_grantOrder.pop_front();
    }
}

void claim_reducer::handle(const claim_timer_due&)
{
    while (const auto id = m_timers.popDue(m_now))
        handleTimeout(m_waiting.at(*id));
    removeExpiredRuns();
}

} // namespace kumquat
