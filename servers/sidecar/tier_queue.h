#pragma once

#include "servers/sidecar/queued_attempt.h"

#include <map>
#include <set>
#include <string>

namespace kumquat {

// The waiting attempts of one tier, shared fairly between organisations by start-time fair queueing: each organisation
// has a virtual counter of the tokens it has received, and the one with the smallest counter comes next. Organisations
// whose counters lie within one quantum are equal; among those, and inside an organisation, the attempt whose start is
// due first comes next. What can no longer meet its target yields to what still can. Decisions cost the logarithm of
// the number of attempts and organisations.
class tier_queue {
public:
    void push(const queued_attempt&);
    void remove(const queued_attempt&);
    // Returns the attempt that runs next, or null.
    const queued_attempt* next(instant now);
    bool empty() const { return m_order.empty(); }

    // Charges the organisation for an attempt that starts and is removed next. A start out of turn leaves the virtual
    // time as it is, so that organisations that come later do not pay for it.
    void started(const queued_attempt&, bool inTurn);
    // Corrects a charge that was a guess.
    void charge(const std::string& organisation, double tokens);
    void ended(const std::string& organisation);

    duration queuedRun() const { return m_queuedRun; }
    // Returns the share of the waiting time that comes before a new attempt of the organisation.
    duration runAhead(const std::string& organisation, duration ownRun) const;
    // Returns the youngest attempt of the organisation with the most waiting if it has more than the given one would.
    const queued_attempt* surplus(const std::string& organisation) const;

private:
    struct by_start {
        bool operator()(const queued_attempt* left, const queued_attempt* right) const
        {
            if (left->startBy != right->startBy)
                return left->startBy < right->startBy;
            return left->sequence < right->sequence;
        }
    };

    struct member {
        std::string name;
        double counter = 0;
        std::set<const queued_attempt*, by_start> onTime;
        std::set<const queued_attempt*, by_sequence> late;
        std::set<const queued_attempt*, by_sequence> unstarted;
        std::uint32_t running = 0;
        duration queuedRun { 0 };

        bool hasWaiting() const { return !onTime.empty() || !late.empty(); }
        const queued_attempt* head() const { return onTime.empty() ? *late.begin() : *onTime.begin(); }
    };

    // Place of an organisation with waiting work in the order of service.
    struct position {
        std::int64_t bucket = 0;
        bool late = false;
        instant startBy;
        std::uint64_t sequence = 0;
        member* organisation = nullptr;

        bool operator<(const position& other) const;
    };

    // Takes an organisation out of the orders while its keys change, and puts it back after.
    template <typename Change>
    void update(member&, Change&&);
    position positionOf(member&) const;
    void forgetIfIdle(member&);

    std::map<std::string, member> m_members;
    std::set<position> m_order;
    // Organisations by the number of attempts that have never run.
    std::set<std::pair<std::size_t, std::string>> m_bySize;
    // Counters of organisations without work that are ahead of the virtual time and must not be forgotten yet.
    std::set<std::pair<double, std::string>> m_ahead;
    double m_virtualTime = 0;
    duration m_queuedRun { 0 };
};

} // namespace kumquat
