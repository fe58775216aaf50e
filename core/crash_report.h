#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace kumquat {

// What identifies the requests that may crash an upstream.
enum class suspect_kind {
    // One request, by organisation, target and body.
    request,
    // All requests with a part in their prompts.
    prompt_part
};

// Something that was at an upstream when it crashed, and may be the reason.
struct crash_suspect {
    suspect_kind kind = suspect_kind::request;
    // A hash over the service and what the kind names.
    std::uint64_t id = 0;

    bool operator==(const crash_suspect&) const = default;
};

struct crash_suspect_hash {
    std::size_t operator()(const crash_suspect& suspect) const { return std::hash<std::uint64_t> {}(suspect.id); }
};

// An upstream crashed before it answered a request with this suspect.
struct crash_report {
    crash_suspect suspect;
    // Hash of the upstream's id and start, so that its successor under the same id counts as another one.
    std::uint32_t upstream = 0;
    // Hash of the request, so that crashes of one request and its retries count once for a prompt part.
    std::uint32_t request = 0;
    // The position of the part in the prompt, from 0.
    int position = 0;
    // The time since the crash.
    std::chrono::milliseconds age {};
};

// A suspect, and the time since what the list that contains it tells of.
struct aged_suspect {
    crash_suspect suspect;
    std::chrono::milliseconds age {};
};

// What routers tell each other about crashes.
struct crash_news {
    std::vector<crash_report> crashes;
    // Suspects that an upstream has answered without a crash, with the time since the answer began.
    std::vector<aged_suspect> answered;
    // Suspects whose requests are refused, with the time since the last crash.
    std::vector<aged_suspect> refused;

    std::size_t size() const { return crashes.size() + answered.size() + refused.size(); }
};

} // namespace kumquat
