#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquat::duties {

// Requests that began to run, by organisation.
using usage_counts = std::map<std::string, std::uint64_t>;

// A window whose counts are fixed.
struct decided_window {
    std::uint64_t window = 0;
    // Empty once the window is delivered.
    usage_counts counts;
    // The platform's API has accepted the report.
    bool delivered = false;

    bool operator==(const decided_window&) const = default;
};

// Who performs the duties, and what is fixed about the reports. The store holds one such record, which all routers change by
// conditional writes.
struct duty_record {
    // Increases with each change of holder.
    std::uint64_t token = 0;
    // The name of the holder's instance, and the number that its process has drawn at its start.
    std::string holder;
    std::uint64_t incarnation = 0;
    // Identifies the write that made the record what it is.
    std::uint64_t writeId = 0;
    // The era of the store in which the holder acquired the lease.
    std::uint64_t era = 0;
    // The holder has given up the lease and makes no more calls.
    bool released = false;
    // The names of the holders before, the latest one first.
    std::vector<std::string> earlierHolders;
    // In the order of their numbers.
    std::vector<decided_window> windows;
    // The first window that may still be decided. Earlier ones that are not in the list are delivered or skipped.
    std::uint64_t firstUndecided = 0;

    bool operator==(const duty_record&) const = default;
};

// The record together with the revision that the store gave it.
struct stored_duty_record {
    std::uint64_t revision = 0;
    duty_record record;
};

} // namespace kumquat::duties
