#include "servers/sidecar/tier_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace kumquat {

namespace {

    // Organisations whose counters differ by less are served by deadline.
    constexpr double fairnessQuantumTokens = 256;

} // namespace

bool tier_queue::position::operator<(const position& other) const
{
    return std::tie(bucket, late, startBy, sequence) < std::tie(other.bucket, other.late, other.startBy, other.sequence);
}

tier_queue::position tier_queue::positionOf(member& organisation) const
{
    const auto* head = organisation.head();
    const bool late = organisation.onTime.empty();
    const auto bucket = static_cast<std::int64_t>(std::floor(organisation.counter / fairnessQuantumTokens));
    return { bucket, late, late ? instant {} : head->startBy, head->sequence, &organisation };
}

template <typename Change>
void tier_queue::update(member& organisation, Change&& change)
{
    if (organisation.hasWaiting())
        m_order.erase(positionOf(organisation));
    m_bySize.erase({ organisation.unstarted.size(), organisation.name });
    change();
    if (organisation.hasWaiting())
        m_order.insert(positionOf(organisation));
    if (!organisation.unstarted.empty())
        m_bySize.emplace(organisation.unstarted.size(), organisation.name);
}

void tier_queue::push(const queued_attempt& attempt)
{
    auto& organisation = m_members[attempt.organisation];
    organisation.name = attempt.organisation;
    m_ahead.erase({ organisation.counter, organisation.name });
    update(organisation, [&] {
        // An organisation that was away gets no credit for the time in which it asked for nothing.
        if (!organisation.hasWaiting())
            organisation.counter = std::max(organisation.counter, m_virtualTime);
        organisation.onTime.insert(&attempt);
        organisation.queuedRun += attempt.expectedRun;
        if (!attempt.resumes)
            organisation.unstarted.insert(&attempt);
    });
    m_queuedRun += attempt.expectedRun;
}

void tier_queue::remove(const queued_attempt& attempt)
{
    auto& organisation = m_members.at(attempt.organisation);
    update(organisation, [&] {
        organisation.onTime.erase(&attempt);
        organisation.late.erase(&attempt);
        organisation.unstarted.erase(&attempt);
        organisation.queuedRun -= attempt.expectedRun;
    });
    m_queuedRun -= attempt.expectedRun;
    forgetIfIdle(organisation);
}

const queued_attempt* tier_queue::next(instant now)
{
    while (!m_order.empty()) {
        auto& organisation = *m_order.begin()->organisation;
        const auto* head = organisation.head();
        if (organisation.onTime.empty() || head->resumes || head->startBy >= now)
            return head;
        update(organisation, [&] {
            organisation.onTime.erase(head);
            organisation.late.insert(head);
        });
    }
    return nullptr;
}

void tier_queue::started(const queued_attempt& attempt, bool inTurn)
{
    auto& organisation = m_members.at(attempt.organisation);
    if (inTurn)
        m_virtualTime = std::max(m_virtualTime, organisation.counter);
    update(organisation, [&] {
        organisation.counter += attempt.charge;
        organisation.running++;
    });
    while (!m_ahead.empty() && m_ahead.begin()->first <= m_virtualTime) {
        m_members.erase(m_ahead.begin()->second);
        m_ahead.erase(m_ahead.begin());
    }
}

void tier_queue::charge(const std::string& name, double tokens)
{
    auto& organisation = m_members.at(name);
    update(organisation, [&] { organisation.counter += tokens; });
}

void tier_queue::ended(const std::string& name)
{
    auto& organisation = m_members.at(name);
    organisation.running--;
    forgetIfIdle(organisation);
}

void tier_queue::forgetIfIdle(member& organisation)
{
    if (organisation.hasWaiting() || organisation.running > 0)
        return;
    if (organisation.counter > m_virtualTime) {
        m_ahead.emplace(organisation.counter, organisation.name);
        return;
    }
    m_members.erase(std::string(organisation.name));
}

duration tier_queue::runAhead(const std::string& name, duration ownRun) const
{
    const auto found = m_members.find(name);
    const auto own = found == m_members.end() ? duration { 0 } : found->second.queuedRun;
    const auto isWaiting = found != m_members.end() && found->second.hasWaiting();
    const auto sharers = static_cast<duration::rep>(m_order.size() + (isWaiting ? 0 : 1));
    return std::min(m_queuedRun, sharers * (own + ownRun) - ownRun);
}

const queued_attempt* tier_queue::surplus(const std::string& name) const
{
    if (m_bySize.empty())
        return nullptr;
    const auto found = m_members.find(name);
    const auto own = found == m_members.end() ? 0 : found->second.unstarted.size();
    const auto& [size, largest] = *m_bySize.rbegin();
    if (size <= own + 1)
        return nullptr;
    return *m_members.at(largest).unstarted.rbegin();
}

} // namespace kumquat
