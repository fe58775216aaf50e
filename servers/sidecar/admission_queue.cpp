#include "servers/sidecar/admission_queue.h"

#include "core/overloaded.h"

#include <algorithm>

namespace kumquat {

admission_queue::admission_queue(const scheduling_policy& policy, const class_lookup& classes, const guaranteed_share::options& share)
    : m_policy(policy)
{
    const auto chooseOrder = overloaded {
        [&](const fair_scheduling&) { m_order.emplace<fair_queue>(classes, share); },
        [&](const priority_scheduling&) { m_order.emplace<tiered_queue>(); },
        [&](const fifo_scheduling&) { m_order.emplace<fifo_queue>(); },
        [&](const inverted_scheduling&) { m_order.emplace<inverted_queue>(); },
    };
    std::visit(chooseOrder, m_policy);
}

void admission_queue::push(queued_attempt attempt, instant now)
{
    if (attempt.sequence == 0)
        attempt.sequence = m_nextSequence++;
    const auto id = attempt.attempt;
    const auto& stored = m_waiting.insert_or_assign(id, std::move(attempt)).first->second;
    m_deadlines.set(id, stored.deadline);
    if (stored.urgentAt != instant::max())
        m_urgent.set(id, stored.urgentAt);
    m_byTier.insert(&stored);
    if (!stored.resumes)
        m_unstarted.insert(&stored);
    if (stored.suspect)
        m_orderedSuspects.insert(&stored);
    std::visit([&](auto& order) { order.push(stored, now); }, m_order);
}

queued_attempt admission_queue::extract(const attempt_id& id, instant now)
{
    const auto position = m_waiting.find(id);
    const auto& waiting = position->second;
    if (m_deferredSuspects.erase(&waiting) == 0)
        std::visit([&](auto& order) { order.remove(waiting, now); }, m_order);
    m_orderedSuspects.erase(&waiting);
    m_byTier.erase(&waiting);
    m_unstarted.erase(&waiting);
    m_deadlines.cancel(id);
    m_urgent.cancel(id);
    return std::move(m_waiting.extract(position).mapped());
}

queue_choice admission_queue::selectNext(slot_cause cause, instant now)
{
    if (auto* fair = std::get_if<fair_queue>(&m_order); fair && cause == slot_cause::preempted)
        return fair->nextByTier(now);
    return std::visit([&](auto& order) { return order.next(now); }, m_order);
}

std::optional<popped_attempt> admission_queue::popNext(slot_cause cause, bool isSuspectRunning, instant now)
{
    if (!isSuspectRunning && m_orderedSuspects.empty())
        requeueDeferredSuspect(now);
    auto choice = selectNext(cause, now);
    while (choice.attempt && choice.attempt->suspect && isSuspectRunning) {
        deferSuspect(*choice.attempt, now);
        choice = selectNext(cause, now);
    }
    if (!choice.attempt)
        return std::nullopt;
    if (auto* fair = std::get_if<fair_queue>(&m_order))
        fair->recordStart(choice, cause == slot_cause::freed, now);
    return popped_attempt { extract(attempt_id(choice.attempt->attempt), now), choice.guaranteed };
}

std::optional<queued_attempt> admission_queue::popOutOfTurn(const attempt_id& id, instant now)
{
    const auto* attempt = find(id);
    if (!attempt)
        return std::nullopt;
    // A deferred suspect is not in m_order. It is inserted again because the fair queue charges and removes only attempts
    // that it contains.
    if (m_deferredSuspects.erase(attempt) > 0)
        std::visit([&](auto& order) { order.push(*attempt, now); }, m_order);
    if (auto* fair = std::get_if<fair_queue>(&m_order))
        fair->recordStart({ attempt, false }, false, now);
    return extract(id, now);
}

void admission_queue::deferSuspect(const queued_attempt& attempt, instant now)
{
    std::visit([&](auto& order) { order.remove(attempt, now); }, m_order);
    m_orderedSuspects.erase(&attempt);
    m_deferredSuspects.insert(&attempt);
}

void admission_queue::requeueDeferredSuspect(instant now)
{
    if (m_deferredSuspects.empty())
        return;
    const auto* first = *m_deferredSuspects.begin();
    m_deferredSuspects.erase(m_deferredSuspects.begin());
    m_orderedSuspects.insert(first);
    std::visit([&](auto& order) { order.push(*first, now); }, m_order);
}

std::optional<queued_attempt> admission_queue::displaceFor(const queued_attempt& arrival, instant now)
{
    if (m_unstarted.empty() || std::holds_alternative<fifo_scheduling>(m_policy))
        return std::nullopt;
    if (std::holds_alternative<inverted_scheduling>(m_policy))
        return extract(attempt_id((*m_unstarted.begin())->attempt), now);
    const auto* lowest = *m_unstarted.rbegin();
    if (lowest->tierRank > arrival.tierRank)
        return extract(attempt_id(lowest->attempt), now);
    const auto* fair = std::get_if<fair_queue>(&m_order);
    const auto* displacementCandidate = fair ? fair->displacementCandidate(arrival.tierRank, arrival.organisation) : nullptr;
    if (!displacementCandidate)
        return std::nullopt;
    return extract(attempt_id(displacementCandidate->attempt), now);
}

std::optional<queued_attempt> admission_queue::remove(const attempt_id& attempt, instant now)
{
    if (!m_waiting.contains(attempt))
        return std::nullopt;
    return extract(attempt, now);
}

std::vector<queued_attempt> admission_queue::removeExpired(instant now)
{
    std::vector<queued_attempt> expired;
    while (const auto attempt = m_deadlines.popDue(now))
        expired.push_back(extract(*attempt, now));
    return expired;
}

std::vector<queued_attempt> admission_queue::removeIf(const std::function<bool(const queued_attempt&)>& isSelected, instant now)
{
    std::vector<attempt_id> selected;
    for (const auto* attempt : m_byTier) {
        if (isSelected(*attempt))
            selected.push_back(attempt->attempt);
    }
    std::vector<queued_attempt> removed;
    removed.reserve(selected.size());
    for (const auto& attempt : selected)
        removed.push_back(extract(attempt, now));
    return removed;
}

const queued_attempt* admission_queue::find(const attempt_id& attempt) const
{
    const auto found = m_waiting.find(attempt);
    return found == m_waiting.end() ? nullptr : &found->second;
}

std::optional<instant> admission_queue::nextDeadline() const
{
    const auto deadline = m_deadlines.nextDeadline();
    const auto urgent = m_urgent.nextDeadline();
    if (!deadline || !urgent)
        return deadline ? deadline : urgent;
    return std::min(*deadline, *urgent);
}

void admission_queue::charge(std::uint32_t tierRank, const std::string& organisation, double tokens)
{
    if (auto* fair = std::get_if<fair_queue>(&m_order))
        fair->charge(tierRank, organisation, tokens);
}

void admission_queue::recordEnd(const queued_attempt& attempt, instant now)
{
    if (auto* fair = std::get_if<fair_queue>(&m_order))
        fair->recordEnd(attempt, now);
}

std::size_t admission_queue::countBefore(const queued_attempt& arrival) const
{
    const auto* fair = std::get_if<fair_queue>(&m_order);
    return fair ? fair->countBefore(arrival.tierRank, arrival.organisation) : m_waiting.size();
}

} // namespace kumquat
