#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquat::router {

// Counts, for each request by its fingerprint, the upstreams that crashed while it ran there, as seen by this router and
// told by the others. A request that has ended well anywhere is clear for a while, since many others run beside the one
// that crashes an upstream.
class crash_ledger {
public:
    using counts = std::vector<std::pair<std::uint64_t, int>>;

    void recordCrash(std::uint64_t fingerprint, instant now);
    void recordSuccess(std::uint64_t fingerprint, instant now);
    // Replaces what another router has told.
    void setPeer(const std::string& instance, const counts&, instant now);
    // Whether there is anything to look up.
    bool empty() const { return m_own.empty() && m_peers.empty(); }
    int crashes(std::uint64_t fingerprint, instant now);
    // What this router has seen, to be told to the others.
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
