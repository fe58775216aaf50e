#include "servers/sidecar/tier_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace kumquat {

namespace {

    // Organisations whose counters fall in the same bucket of this size are served in order of their start deadlines.
    constexpr double fairnessQuantumTokens = 256;

} // namespace

bool tier_queue::order_key::operator<(const order_key& other) const
{
    return std::tie(late, bucket, startDeadline, sequence) < std::tie(other.late, other.bucket, other.startDeadline, other.sequence);
}

tier_queue::order_key tier_queue::orderKeyOf(organisation_state& organisation) const
{
    const auto* head = organisation.head();
    const bool late = organisation.onTime.empty();
    const auto bucket = static_cast<std::int64_t>(std::floor(organisation.counter / fairnessQuantumTokens));
    return { late, bucket, late ? instant {} : head->startDeadline, head->sequence, &organisation };
}

template <typename Change>
void tier_queue::update(organisation_state& organisation, Change&& change)
{
    if (organisation.hasWaiting())
        m_order.erase(orderKeyOf(organisation));
    m_byUnstartedCount.erase({ organisation.unstarted.size(), organisation.name });
    change();
    if (organisation.hasWaiting())
        m_order.insert(orderKeyOf(organisation));
    if (!organisation.unstarted.empty())
        m_byUnstartedCount.emplace(organisation.unstarted.size(), organisation.name);
}

void tier_queue::push(const queued_attempt& attempt)
{
    auto& organisation = m_organisations[attempt.organisation];
    organisation.name = attempt.organisation;
    m_idleAboveVirtualTime.erase({ organisation.counter, organisation.name });
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
    auto& organisation = m_organisations.at(attempt.organisation);
    update(organisation, [&] {
        organisation.onTime.erase(&attempt);
        organisation.late.erase(&attempt);
        organisation.unstarted.erase(&attempt);
    });
    m_size--;
    removeIfIdle(organisation);
}

const queued_attempt* tier_queue::next(instant now)
{
    while (!m_order.empty()) {
        auto& organisation = *m_order.begin()->organisation;
        const auto* head = organisation.head();
        if (organisation.onTime.empty() || head->resumes || head->startDeadline >= now)
            return head;
        update(organisation, [&] {
            organisation.onTime.erase(head);
            organisation.late.insert(head);
        });
    }
    return nullptr;
}

void tier_queue::recordStart(const queued_attempt& attempt, bool advancesVirtualTime)
{
    auto& organisation = m_organisations.at(attempt.organisation);
    if (advancesVirtualTime)
        m_virtualTime = std::max(m_virtualTime, organisation.counter);
    update(organisation, [&] {
        organisation.counter += attempt.charge;
        organisation.running++;
    });
    while (!m_idleAboveVirtualTime.empty() && m_idleAboveVirtualTime.begin()->first <= m_virtualTime) {
        m_organisations.erase(m_idleAboveVirtualTime.begin()->second);
        m_idleAboveVirtualTime.erase(m_idleAboveVirtualTime.begin());
    }
}

void tier_queue::charge(const std::string& name, double tokens)
{
    auto& organisation = m_organisations.at(name);
    update(organisation, [&] { organisation.counter += tokens; });
}

void tier_queue::recordEnd(const std::string& name)
{
    auto& organisation = m_organisations.at(name);
    organisation.running--;
    removeIfIdle(organisation);
}

void tier_queue::removeIfIdle(organisation_state& organisation)
{
    if (organisation.hasWaiting() || organisation.running > 0)
        return;
    if (organisation.counter > m_virtualTime) {
        m_idleAboveVirtualTime.emplace(organisation.counter, organisation.name);
        return;
    }
    m_organisations.erase(std::string(organisation.name));
}

std::size_t tier_queue::countBefore(const std::string& name) const
{
    const auto found = m_organisations.find(name);
    const auto ownCount = found == m_organisations.end() ? 0 : found->second.size();
    const auto competingOrganisations = m_order.size() + (ownCount == 0 ? 1 : 0);
    // Until the new attempt starts, each other organisation is served as often as its own one.
    return std::min(m_size, competingOrganisations * (ownCount + 1) - 1);
}

const queued_attempt* tier_queue::displacementCandidate(const std::string& name) const
{
    if (m_byUnstartedCount.empty())
        return nullptr;
    const auto found = m_organisations.find(name);
    const auto ownCount = found == m_organisations.end() ? 0 : found->second.unstarted.size();
    const auto& [size, largest] = *m_byUnstartedCount.rbegin();
    if (size <= ownCount + 1)
        return nullptr;
    return *m_organisations.at(largest).unstarted.rbegin();
}

} // namespace kumquat
