#pragma once

#include "core/clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// A part of a prompt that several requests may share.
struct prompt_part {
    std::uint64_t id = 0;
    int tokens = 0;
};

// What a request says of the work that it asks of a model engine.
struct prompt_description {
    // In order; the last part belongs to the request or its session alone.
    std::vector<prompt_part> parts;
    int inputTokens = 0;
    int maxOutputTokens = 0;
    // The caller's estimate of the output, often far off.
    std::optional<int> expectedOutputTokens;
};

// A caller's request as it is passed on to an upstream.
struct proxied_request {
    // Names this attempt of the caller.
    std::string requestId;
    std::string method;
    // Path and query, unchanged.
    std::string target;
    // The part of the target before the query.
    std::string path;
    // In lower case and without a port.
    std::string host;
    std::string apiKey;
    // How long the caller waits.
    std::optional<duration> callerTimeout;
    // The caller already has the events of the stream up to this one.
    std::optional<std::uint64_t> lastEventId;
    prompt_description prompt;
    // Header lines that are passed on as they came.
    std::string forwardedHeaders;
    std::string body;
};

using shared_request = std::shared_ptr<const proxied_request>;

} // namespace kumquat
