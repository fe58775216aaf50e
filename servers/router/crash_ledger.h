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
class crash_ledger {
public:
    using counts = std::vector<std::pair<std::uint64_t, int>>;

    void recordCrash(std::uint64_t fingerprint, instant now);
    void recordSuccess(std::uint64_t fingerprint, instant now);
    // Replaces the counts that another router reported earlier.
    void setPeer(const std::string& instance, const counts&, instant now);
    // True if neither this router nor another one has recorded a crash, so that callers can skip computing a fingerprint.
    bool empty() const { return m_own.empty() && m_peers.empty(); }
    // The crashes that all routers together have recorded for a request, or 0 if it has succeeded since.
    int crashes(std::uint64_t fingerprint, instant now);
    // The crashes that this router observed itself, for its digest to the others.
    counts own(instant now);

private:
    struct entry {
        int crashes = 0;
        instant last;
    };
    struct peer_counts {
        counts told;
        instant at;
    };

    void forgetOld(instant now);

    std::unordered_map<std::uint64_t, entry> m_own;
    std::unordered_map<std::uint64_t, instant> m_clear;
    std::unordered_map<std::string, peer_counts> m_peers;
};

} // namespace kumquat::router
