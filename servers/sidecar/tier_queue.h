#pragma once

#include "servers/sidecar/queued_attempt.h"

#include <map>
#include <set>
#include <string>

namespace kumquat {

// The waiting attempts of one tier, served by start-time fair queueing between organisations: each organisation has a
// virtual counter of the tokens that it has received, and the one with the smallest counter is served next. Counters in the
// same bucket of 256 tokens count as equal. Among equal organisations, and within an organisation, the attempt with the
// earliest start deadline is served first. Attempts that can no longer meet their target are served after all that still can,
// of any organisation. A decision takes time logarithmic in the number of attempts and organisations.
class tier_queue {
public:
    void push(const queued_attempt&);
    void remove(const queued_attempt&);
    // Returns the attempt that starts next, or null if none waits.
    const queued_attempt* next(instant now);
    bool empty() const { return m_order.empty(); }

    // Charges the organisation for an attempt that starts. Must be called before remove(). The virtual time does not advance
    // for an attempt that starts out of turn, because organisations that come later start at the virtual time and would
    // otherwise be served later on account of it.
    void recordStart(const queued_attempt&, bool advancesVirtualTime);
    // Adds tokens to the charge of an organisation; negative values are refunds.
    void charge(const std::string& organisation, double tokens);
    void recordEnd(const std::string& organisation);

    std::size_t size() const { return m_size; }
    // Estimates how many waiting attempts start before a new one of the organisation.
    std::size_t countBefore(const std::string& organisation) const;
    // Returns the youngest never-started attempt of the organisation with the most of them, if that organisation would still
    // have more than the given one after one more arrival; or null.
    const queued_attempt* displacementCandidate(const std::string& organisation) const;

private:
    struct by_start_deadline {
        bool operator()(const queued_attempt* left, const queued_attempt* right) const
        {
            if (left->startDeadline != right->startDeadline)
                return left->startDeadline < right->startDeadline;
            return left->sequence < right->sequence;
        }
    };

    struct organisation_state {
        std::string name;
        // Tokens received, in virtual time.
        double counter = 0;
        std::set<const queued_attempt*, by_start_deadline> onTime;
        std::set<const queued_attempt*, by_sequence> late;
        std::set<const queued_attempt*, by_sequence> unstarted;
        std::uint32_t running = 0;

        std::size_t size() const { return onTime.size() + late.size(); }
        bool hasWaiting() const { return !onTime.empty() || !late.empty(); }
        const queued_attempt* head() const { return onTime.empty() ? *late.begin() : *onTime.begin(); }
    };

    // Sort key of an organisation with waiting attempts in the order of service.
    struct order_key {
        bool late = false;
        std::int64_t bucket = 0;
        instant startDeadline;
        std::uint64_t sequence = 0;
        organisation_state* organisation = nullptr;

        bool operator<(const order_key& other) const;
    };

    // Removes an organisation from the ordered sets, applies a change to its keys, and inserts it again.
    template <typename Change>
    void update(organisation_state&, Change&&);
    order_key orderKeyOf(organisation_state&) const;
    void removeIfIdle(organisation_state&);

    std::map<std::string, organisation_state> m_organisations;
    std::set<order_key> m_order;
    // Organisations ordered by their number of waiting attempts that have never run.
    std::set<std::pair<std::size_t, std::string>> m_byUnstartedCount;
    // Organisations without attempts whose counters exceed the virtual time. They are removed once the virtual time has
    // reached their counters. An earlier removal would discard tokens that they have been charged.
    std::set<std::pair<double, std::string>> m_idleAboveVirtualTime;
    double m_virtualTime = 0;
    std::size_t m_size = 0;
};

} // namespace kumquat
