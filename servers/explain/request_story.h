#pragma once

#include "servers/explain/log_line.h"

#include <string>
#include <vector>

namespace kumquat {

// What saved logs tell about one request.
struct request_story {
    // Lines of the request, and of what its processes believed about the store, the configuration and the upstreams that
    // had it, in the order of their times.
    std::vector<log_line> lines;
    // How the request ended, in a sentence.
    std::string ending;
    // What the logs lack for the story to be whole; empty if nothing.
    std::vector<std::string> missing;

    bool found() const { return !lines.empty(); }
};

// Puts the lines of several processes together for one request.
request_story tellRequestStory(const std::string& requestId, const std::vector<log_line>& all);

// The story as text, one line an event.
std::string formatRequestStory(const std::string& requestId, const request_story&);

} // namespace kumquat
