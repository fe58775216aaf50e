#pragma once

#include "core/clock.h"
#include "core/router_digest.h"
#include "core/routing_config.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquat::router {

// The share of the engines of a service that is reserved from now on, or nothing if the service is not divided any more.
struct reservation_change {
    std::string service;
    std::optional<double> share;
};

// Whether streams that bear only short gaps between their events are kept apart from long prompts, and on what share of the
// engines of a service.
//
// While an engine prefills long prompts, all streams that it runs wait for each chunk. The streams of the route with the shortest
// gap target of a service are sensitive to that. When too many of them have had gaps beyond the target, a share of the engines is
// reserved for them, equal to their share of the requests in progress. Routers tell each other their numbers of requests and use the
// sums, so that all reserve nearly the same engines and follow a burst of either kind. The load answered is one of urgent short
// prompts beside long ones. A service is not divided if it has no gaps beyond the target, if its routes all bear the same gaps, or if
// its sensitive streams have to begin within a few gaps.
class gap_protection {
public:
    // Reads from a new configuration which routes have the shortest gap target of their service.
    void setConfig(const routing_config&);
    // Whether the streams of a route are the sensitive ones of a service.
    bool isSensitive(const std::string& service, duration gapTarget) const;
    // A request has arrived that will be sent to an engine of the service, or has ended.
    void recordArrival(const std::string& service, bool sensitive);
    void recordEnd(const std::string& service, bool sensitive);
    // A sensitive stream has ended, with a longest gap between its events.
    void recordStream(const std::string& service, duration longestGap, instant now);
    // The share of the engines that is reserved for sensitive streams, above 0 and below 1, or nothing.
    std::optional<double> reservedShare(const std::string& service, instant now);

    // The services whose share has changed since the last call, for the log.
    std::vector<reservation_change> takeChanges(instant now);

    // What this router reports of itself to the routers of its data centre.
    std::vector<reservation_report> ownReports(instant now);
    // What the aggregator reports of its data centre.
    std::vector<reservation_report> dataCentreReports(instant now);
    // Takes what another router, or the aggregator of another data centre, has reported.
    void learn(const router_digest&, instant now);

private:
    struct peer_report {
        reservation_report report;
        digest_scope scope = digest_scope::router;
        instant receivedAt;
    };

    struct service_state {
        duration shortestGapTarget {};
        // Other routes of the service bear longer gaps, and the sensitive ones need no engine that is nearly idle.
        bool divisible = false;
        // Requests in progress at this router.
        int sensitiveRequests = 0;
        int totalRequests = 0;
        // Numbers of sensitive streams, and of those with a gap beyond the target, that decay over time.
        double sensitiveStreams = 0;
        double disturbedStreams = 0;
        instant decayedAt;
        std::optional<instant> disturbedAt;
        // The last reports of others, by the name of the sender.
        std::unordered_map<std::string, peer_report> reports;
        // The share in use. It follows the reports in steps, so that it is the same at most routers.
        double share = 0;
        // The share that takeChanges last returned.
        std::optional<double> loggedShare;
    };

    static void decay(service_state&, instant now);
    static bool isDisturbed(const service_state&, instant now);
    // The sum of this router's own report and those of its data centre, or of all.
    static reservation_report sumReports(std::uint32_t service, service_state&, bool withOtherDataCentres, instant now);

    std::unordered_map<std::string, service_state> m_services;
};

} // namespace kumquat::router
