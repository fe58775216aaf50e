#pragma once

#include <cstdint>
#include <string>

namespace kumquat {

// Content of one event or error body of an entry, as far as the load tool uses it. Absent fields are empty or 0.
struct load_event {
    std::string text;
    std::string errorCode;
    // Whether the request ran, as the error states: "no" or another value.
    std::string errorRan;
    std::uint32_t reportedTokens = 0;
};

// Parses an event or error body; data that is not a JSON object yields an empty event.
load_event parseLoadEvent(const std::string& data);

} // namespace kumquat
