#pragma once

#include "core/clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// A consecutive part of a prompt. Requests whose prompts begin with the same parts can share the upstream's prefix
// cache.
struct prompt_part {
    std::uint64_t id = 0;
    int tokens = 0;
};

// What a request states about its prompt and its output, from which the work for a model engine is estimated.
struct prompt_description {
    // In the order of the prompt. The last part belongs to this request or its session only.
    std::vector<prompt_part> parts;
    int inputTokens = 0;
    int maxOutputTokens = 0;
    // The caller's estimate of the output length in tokens, often far off.
    std::optional<int> expectedOutputTokens;
};

// A caller's request in the form in which the router forwards it to an upstream.
struct proxied_request {
    // Chosen by the caller, which uses a new id when it repeats a request. All attempts of the router at upstreams carry
    // the same id.
    std::string requestId;
    std::string method;
    // Path and query, unchanged.
    std::string target;
    // The part of the target before the query.
    std::string path;
    // Host header in lower case and without the port.
    std::string host;
    // Empty when the request carries no key.
    std::string apiKey;
    // How long the caller waits for the answer, if the request states it.
    std::optional<duration> callerTimeout;
    // Id of the last stream event that the caller already has, if the request resumes a stream.
    std::optional<std::uint64_t> lastEventId;
    // If the request resumes a stream: the requestId of the caller's request that brought the first event. Empty if the caller
    // does not name it.
    std::string resumedRequestId;
    prompt_description prompt;
    // Header lines that are forwarded unchanged, each with its line end.
    std::string forwardedHeaders;
    std::string body;
};

using shared_request = std::shared_ptr<const proxied_request>;

} // namespace kumquat
