#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquat::router {

// Counts, for each request fingerprint, the upstreams that crashed while the request ran there, as observed by this router
// and reported by the others. Many requests run on an upstream beside the one that crashes it, so a request that succeeds
// is cleared of suspicion until the retention time has passed.
class crash_tracker {
public:
    using crash_counts = std::vector<std::pair<std::uint64_t, int>>;

    void recordCrash(std::uint64_t fingerprint, instant now);
    void recordSuccess(std::uint64_t fingerprint, instant now);
    // Replaces the counts that another router reported earlier.
    void setPeerCounts(const std::string& instance, const crash_counts&, instant now);
    // True if neither this router nor another one has recorded a crash, so that callers can skip computing a fingerprint.
    bool empty() const { return m_ownRecords.empty() && m_peerCounts.empty(); }
    // The crashes that all routers together have recorded for a request. Returns 0 if the request has succeeded at this
    // router within the retention time, even if it has crashed an upstream since.
    int crashCount(std::uint64_t fingerprint, instant now);
    // The crashes that this router and the given others have observed, for the summary of their data centre.
    crash_counts sumOf(const std::vector<std::string>& instances, instant now);
    // The crashes that this router observed itself, for its digest to the others.
    crash_counts ownCounts(instant now);

private:
    struct crash_record {
        int crashes = 0;
        instant lastCrashAt;
    };
    struct peer_counts {
        crash_counts reported;
        instant receivedAt;
    };

    void evictExpired(instant now);

    std::unordered_map<std::uint64_t, crash_record> m_ownRecords;
    std::unordered_map<std::uint64_t, instant> m_clearedAt;
    std::unordered_map<std::string, peer_counts> m_peerCounts;
};

} // namespace kumquat::router
