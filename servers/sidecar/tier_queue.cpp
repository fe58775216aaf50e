#include "servers/sidecar/tier_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace kumquat {

namespace {

    // Organisations whose counters fall in the same bucket of this size are served in order of their start deadlines.
    constexpr double fairnessQuantumTokens = 256;

} // namespace

bool tier_queue::position::operator<(const position& other) const
{
    return std::tie(late, bucket, startBy, sequence) < std::tie(other.late, other.bucket, other.startBy, other.sequence);
}

tier_queue::position tier_queue::positionOf(member& organisation) const
{
    const auto* head = organisation.head();
    const bool late = organisation.onTime.empty();
    const auto bucket = static_cast<std::int64_t>(std::floor(organisation.counter / fairnessQuantumTokens));
    return { late, bucket, late ? instant {} : head->startBy, head->sequence, &organisation };
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
        // An organisation that had no waiting attempts gets no credit for that time.
        if (!organisation.hasWaiting())
            organisation.counter = std::max(organisation.counter, m_virtualTime);
        organisation.onTime.insert(&attempt);
        if (!attempt.resumes)
            organisation.unstarted.insert(&attempt);
    });
    m_size++;
}

void tier_queue::remove(const queued_attempt& attempt)
{
    auto& organisation = m_members.at(attempt.organisation);
    update(organisation, [&] {
        organisation.onTime.erase(&attempt);
        organisation.late.erase(&attempt);
        organisation.unstarted.erase(&attempt);
    });
    m_size--;
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

std::size_t tier_queue::ahead(const std::string& name) const
{
    const auto found = m_members.find(name);
    const auto own = found == m_members.end() ? 0 : found->second.size();
    const auto sharers = m_order.size() + (own == 0 ? 1 : 0);
    // Until the new attempt starts, each other organisation is served as often as its own one.
    return std::min(m_size, sharers * (own + 1) - 1);
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
