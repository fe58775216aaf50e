#pragma once

#include "core/routing_config.h"
#include "servers/router/router_event.h"
#include "servers/router/stream_assembler.h"
#include "servers/router/upstream_table.h"

#include <optional>
#include <string>
#include <vector>

namespace kumquat::router {

// One sending of a request to an upstream, until it has ended.
struct live_send {
    send_id id = 0;
    shared_upstream upstream;
    instant sentAt;
    // Prompt tokens that the upstream has to read, until the stream begins.
    double uncachedPromptTokens = 0;
    bool streaming = false;
    // The answer is a stream of events that are passed on as they come.
    bool deliversEvents = false;
    // The head of the answer, once it has come.
    std::optional<upstream_answer> answer;
    // The body so far, where it is kept until it is whole.
    std::string body;
};

// A request of a caller that has not been answered whole.
struct request_progress {
    caller_id caller = 0;
    shared_request request;
    // Keeps the route alive.
    shared_config config;
    const route* terms = nullptr;
    std::string service;
    std::string organisation;
    // How urgent it is to an engine, from 0.
    int urgency = 0;
    bool targetsEngine = false;
    instant arrivedAt;
    // The request is given up then.
    instant deadline;
    std::vector<live_send> sends;
    // Upstreams that have had the request.
    std::vector<std::string> tried;
    // Sends of all kinds, and those of them that may have run.
    int sendCount = 0;
    int runCount = 0;
    // A whole answer of an upstream that says that it failed; given to the caller if nothing better comes.
    std::optional<upstream_answer> failedAnswer;
    std::string failedBody;
    // The head of the answer was given to the caller.
    bool replyStarted = false;
    std::optional<instant> firstEventAt;
    std::optional<instant> lastEventAt;
    duration longestPause {};
    stream_assembler stream;

    // False only if it is certain that no upstream has run the request or will.
    bool mayHaveRun() const { return runCount > 0 || !sends.empty(); }
};

} // namespace kumquat::router
