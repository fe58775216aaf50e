#pragma once

#include "core/routing_config.h"
#include "servers/router/event_boundary.h"
#include "servers/router/router_event.h"
#include "servers/router/stream_assembler.h"
#include "servers/router/upstream_table.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquat::router {

// An attempt that has not ended yet: one try of a request at one upstream.
struct active_attempt {
    attempt_number number = 0;
    shared_upstream upstream;
    instant startedAt;
    // Prompt tokens that the upstream still has to prefill; 0 once the first event has arrived.
    double uncachedPromptTokens = 0;
    // The upstream had to state the start of its record before it got the request.
    bool identifiesUpstream = false;
    // It was asked, and has stated none.
    bool isUnidentified = false;
    // The first event has arrived.
    bool streaming = false;
    // The answer is a successful event stream, whose events are forwarded as they arrive.
    bool forwardsEvents = false;
    // Present for an event stream that ends with its connection and is passed on as any other body.
    std::optional<event_boundary> eventBoundary;
    // The answer was too large to be buffered and is forwarded as it arrives.
    bool forwardsBody = false;
    // When the first event arrived.
    std::optional<instant> firstEventAt;
    // The run of the attempt has been reported.
    bool runIsRecorded = false;
    // The stream has gone on after its first event, so the request does not crash the upstream.
    bool answersSoundly = false;
    // Present once the head of the answer has arrived.
    std::optional<upstream_answer> answer;
    // The body so far, if the answer is buffered until it is complete.
    std::string body;
};

// The search for the version at which an earlier request began the stream that a request resumes.
struct origin_lookup {
    instant startedAt;
    // The queries to other routers, those of them that were answered, and the number of the others.
    std::vector<std::uint64_t> queries;
    std::set<std::uint64_t> answered;
    std::size_t unanswered = 0;
    // The versions that other routers know as the only ones of the service.
    std::set<std::uint64_t> onlyVersions;
};

// A caller's request that has no complete answer yet.
struct request_progress {
    caller_id caller = 0;
    shared_request request;
    // The configuration that was in force when the request arrived; it owns the route.
    shared_config config;
    const route* matchedRoute = nullptr;
    std::string service;
    std::string organisation;
    // The urgency for engines, from 0, the most urgent, to 9.
    int urgency = 0;
    bool targetsEngine = false;
    // Its stream bears only gaps that are shorter than those of other routes of the service.
    bool isGapSensitive = false;
    instant arrivedAt;
    // When the request times out.
    instant deadline;
    std::vector<active_attempt> attempts;
    // Ids of the upstreams to which the request was sent.
    std::vector<std::string> triedUpstreams;
    // Attempts, whatever their outcome.
    int attemptCount = 0;
    // Attempts that have ended and may have run the request.
    int mayHaveRunCount = 0;
    // The complete answer of an upstream with an error status; the caller receives it if no other attempt succeeds.
    std::optional<upstream_answer> failedAnswer;
    std::string failedBody;
    // The head of the answer was sent to the caller.
    bool replyStarted = false;
    // Part of an answer that is not an event stream has reached the caller, so no other attempt can go on with it.
    bool bodyForwarded = false;
    // The versionKey of the upstreams at which the stream may go on, once the caller has received an event. A partial event
    // that was discarded doesn't count.
    std::optional<std::uint64_t> requiredVersion;
    // Other routers keep that version.
    bool originSaved = false;
    // Present while the version is searched for.
    std::optional<origin_lookup> lookup;
    std::optional<instant> firstEventAt;
    std::optional<instant> lastEventAt;
    duration longestEventGap {};
    stream_assembler stream;

    // It goes on with a stream of which the caller has received events in answer to an earlier request.
    bool resumesEarlier() const { return matchedRoute->streaming && matchedRoute->resumable && request->lastEventId; }
    // False only if it is certain that no upstream has run the request or is going to.
    bool mayHaveRun() const { return mayHaveRunCount > 0 || !attempts.empty(); }
};

} // namespace kumquat::router
