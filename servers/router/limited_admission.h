#pragma once

#include "core/clock.h"
#include "core/token_bucket.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

namespace kumquat::router {

// The requests that the limits of a service's upstreams leave to this router.
struct limited_supply {
    // Upstreams at which a request could be started now, and those at which this router has a share.
    std::size_t available = 0;
    std::size_t capacity = 0;
    // Over all upstreams.
    double requestsPerSecond = 0;
};

// Decides which requests for one service are started while all of its upstreams limit them, and when the others may come back.
//
// A request may start if enough is left for the more urgent ones that are to be expected. A part of the supply is kept for each
// urgency, so that none starves.
class limited_admission {
public:
    // Records a request, whether or not the upstreams are limited.
    void recordArrival(int urgency, instant now);
    // Whether a request may be started. If so, it counts as started.
    bool admit(int urgency, const limited_supply&, instant now);
    // When a request that was not started may come back: as long from now as the supply takes to serve those of its urgency that
    // were refused before it.
    std::chrono::milliseconds nextReturn(int urgency, const limited_supply&, instant now);

private:
    static constexpr std::size_t urgencyCount = 10;

    // The requests of one urgency.
    struct urgency_class {
        // Arrivals, of which each counts less the longer ago it was.
        double decayedArrivals = 0;
        instant decayedAt;
        // Paces the requests that are started although less is saved up than the more urgent ones may need.
        std::optional<token_bucket> credit;
        // The latest time at which a refused request was asked to come back.
        instant lastReturn;
    };

    double arrivalRate(std::size_t urgency, instant now) const;
    // The arrivals a second of all more urgent requests.
    double moreUrgentRate(std::size_t urgency, instant now) const;
    // The part of the supply that is left for an urgency, and the part that it gets in any case.
    double remainingRate(std::size_t urgency, const limited_supply&, instant now) const;
    double guaranteedRate(std::size_t urgency, const limited_supply&, instant now) const;
    static std::size_t indexOf(int urgency);

    std::array<urgency_class, urgencyCount> m_classes;
};

} // namespace kumquat::router
