#pragma once

#include "servers/explain/log_line.h"

#include <string>
#include <vector>

namespace kumquat {

// What the saved logs of several processes show about one request.
struct request_timeline {
    // Lines of the request, and nearby lines of its processes about the store, the configuration and the upstreams that
    // the request was sent to, in order of time.
    std::vector<log_line> lines;
    // How the request ended, as text; "unknown" if the logs do not show it.
    std::string outcome;
    // Descriptions of what the logs lack; empty if they are complete.
    std::vector<std::string> missing;

    // Returns whether any line names the request.
    bool found() const { return !lines.empty(); }
};

// Selects and sorts the lines that concern one request from the logs of several processes.
request_timeline buildRequestTimeline(const std::string& requestId, const std::vector<log_line>& all);

// Formats the timeline as text, one line for each event.
std::string formatRequestTimeline(const std::string& requestId, const request_timeline&);

} // namespace kumquat
