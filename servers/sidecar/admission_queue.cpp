#include "servers/sidecar/admission_queue.h"

#include "core/overloaded.h"

namespace kumquat {

admission_queue::admission_queue(const scheduling_policy& policy)
    : m_policy(policy)
{
    const auto chooseOrder = overloaded {
        [this](const fair_scheduling&) { m_order.emplace<tiered_queue>(); },
        [this](const priority_scheduling&) { m_order.emplace<tiered_queue>(); },
        [this](const fifo_scheduling&) { m_order.emplace<fifo_queue>(); },
        [this](const inverted_scheduling&) { m_order.emplace<inverted_queue>(); },
    };
    std::visit(chooseOrder, m_policy);
}

void admission_queue::push(queued_attempt attempt)
{
    if (attempt.sequence == 0)
        attempt.sequence = m_nextSequence++;
    m_deadlines.set(attempt.attempt, attempt.deadline);
    const auto id = attempt.attempt;
    const auto& kept = m_waiting.insert_or_assign(id, std::move(attempt)).first->second;
    std::visit([&](auto& order) { order.push(kept); }, m_order);
    if (!kept.resumes)
        m_displaceable.insert(&kept);
}

queued_attempt admission_queue::take(const attempt_id& id)
{
    const auto position = m_waiting.find(id);
    const auto& waiting = position->second;
    std::visit([&](auto& order) { order.remove(waiting); }, m_order);
    m_displaceable.erase(&waiting);
    m_deadlines.cancel(id);
    return std::move(m_waiting.extract(position).mapped());
}

std::optional<queued_attempt> admission_queue::popNext(instant now)
{
    const auto choice = std::visit([&](auto& order) { return order.next(now); }, m_order);
    if (!choice.attempt)
        return std::nullopt;
    return take(choice.attempt->attempt);
}

std::optional<queued_attempt> admission_queue::displaceBelow(std::uint32_t tierRank)
{
    if (m_displaceable.empty() || std::holds_alternative<fifo_scheduling>(m_policy))
        return std::nullopt;
    const bool isInverted = std::holds_alternative<inverted_scheduling>(m_policy);
    const auto* candidate = isInverted ? *m_displaceable.begin() : *m_displaceable.rbegin();
    if (!isInverted && candidate->tierRank <= tierRank)
        return std::nullopt;
    return take(candidate->attempt);
}

std::optional<queued_attempt> admission_queue::remove(const attempt_id& attempt)
{
    if (!m_waiting.contains(attempt))
        return std::nullopt;
    return take(attempt);
}

std::vector<queued_attempt> admission_queue::removeExpired(instant now)
{
    std::vector<queued_attempt> expired;
    while (const auto attempt = m_deadlines.popDue(now))
        expired.push_back(take(*attempt));
    return expired;
}

std::vector<queued_attempt> admission_queue::removeAll()
{
    std::vector<queued_attempt> all;
    while (!m_waiting.empty())
        all.push_back(take(attempt_id(m_waiting.begin()->first)));
    return all;
}

} // namespace kumquat
