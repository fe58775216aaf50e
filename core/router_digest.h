#pragma once

#include "core/clock.h"
#include "core/crash_report.h"
#include "core/fleet_state.h"
#include "core/store_position.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// The unfinished requests that one router has sent to one upstream.
struct outstanding_load {
    // Hash of the upstream's id.
    std::uint32_t upstream = 0;
    // Number of requests in flight.
    int inFlight = 0;
    // Number of those requests that have delivered their first event.
    int streams = 0;
    // Of the requests that have not delivered an event yet.
    int uncachedPromptTokens = 0;
};

// A prompt part that a router has sent to an upstream and that the upstream therefore probably has in its prefix cache.
struct cached_prompt_part {
    // Hash of the upstream's id.
    std::uint32_t upstream = 0;
    // Id of the prompt part.
    std::uint64_t part = 0;
    int tokens = 0;
};

// An upstream whose answer to a router stated that it is shutting down.
struct leaving_upstream {
    std::string id;
    // As in upstream_record; a successor under the same id is not leaving.
    std::int64_t startedUnixMs = 0;

    bool operator==(const leaving_upstream&) const = default;
};

// A service with engines that a router reserves for streams that bear only short gaps between their events.
struct reservation_report {
    // Hash of the name of the service.
    std::uint32_t service = 0;
    // The requests in progress of the routers for which the digest speaks: those of sensitive streams, and all.
    int sensitiveRequests = 0;
    int totalRequests = 0;
    // The sender has itself seen gaps that were too long, and does not only follow other routers.
    bool disturbed = false;
};

// The limit that an upstream named in an answer to a router.
struct upstream_limit_report {
    // Hash of the upstream's id.
    std::uint32_t upstream = 0;
    // As in upstream_record; a successor under the same id does not have the limit.
    std::int64_t startedUnixMs = 0;
    // The requests a second from all routers together, or nothing if the upstream names no limit any more.
    std::optional<double> requestsPerSecond;
    // The time since that answer.
    std::chrono::milliseconds age {};

    bool operator==(const upstream_limit_report&) const = default;
};

// The router knows that a service has had one software version alone for a time.
struct sole_version {
    // Hash of the service and the version.
    std::uint64_t version = 0;
    std::chrono::milliseconds time {};

    bool operator==(const sole_version&) const = default;
};

// Where a router can be reached.
struct router_contact {
    std::string address;
    std::string dataCentre;

    bool operator==(const router_contact&) const = default;
};

// For whom a digest speaks.
enum class digest_scope {
    // The router that sends it, to the other routers of its data centre.
    router,
    // All routers of the sender's data centre, to the other data centres.
    data_centre
};

// A digest has the loads of those upstreams whose key modulo `count` is `index`, so that it fits in one datagram.
struct load_slice {
    std::uint32_t index = 0;
    std::uint32_t count = 1;

    bool operator==(const load_slice&) const = default;
};

// State that routers send to each other several times a second. The state is advisory, so a lost digest is not sent again.
struct router_digest {
    digest_scope scope = digest_scope::router;
    // The router that sends the digest, or that has aggregated it.
    std::string instance;
    std::string dataCentre;
    // The number of routers for which it speaks.
    int routers = 1;
    // Of a data centre's digest: it was passed on by a router of the receiver's data centre, and is not passed on again.
    bool relayed = false;
    // Distinguishes a router from its successor on the same instance.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // The router is shutting down and has no requests left, so receivers discard its load and stop counting it.
    bool leaving = false;
    // The era of the store in its last answer to the router.
    std::uint64_t storeEra = 0;
    // The newest position at which the router has read the configuration, and the time since the store last confirmed to
    // the router itself that there was no newer one.
    store_position configPosition;
    std::optional<std::chrono::milliseconds> configAge;
    // The version of the configuration in force, or 0. After a restore of the store it may be newer than the version at
    // configPosition.
    std::uint64_t configVersion = 0;
    // The newest position of an upstream record that the router has read, and the time since the store last confirmed to the router
    // itself that there was no newer one.
    store_position upstreamPosition;
    std::optional<std::chrono::milliseconds> recordsAge;
    // Some of the routers that the sender knows, others in each digest.
    std::vector<router_contact> members;
    load_slice slice;
    std::vector<outstanding_load> loads;
    // Prompt parts sent to upstreams since the previous digest.
    std::vector<cached_prompt_part> cachedParts;
    // Upstreams whose answers to the routers for which the digest speaks stated a short time ago that they are shutting down.
    std::vector<leaving_upstream> leavingUpstreams;
    // Limits that upstreams named to the routers for which the digest speaks.
    std::vector<upstream_limit_report> limits;
    // Versions that are alone in their services, some of them in each digest.
    std::vector<sole_version> soleVersions;
    // Services with engines reserved for streams that bear only short gaps.
    std::vector<reservation_report> reservations;
    // What crashed upstreams, as far as the routers know for which the digest speaks.
    crash_news crashNews;
    // Present if the fleet reports the use of upstreams.
    std::optional<fleet_state> fleet;
};

} // namespace kumquat
