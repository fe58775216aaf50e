#pragma once

#include "core/clock.h"
#include "core/peer_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace kumquat {

// Fingerprints of requests that were running when upstreams crashed: suspects, and refused ones, which crashed an upstream
// while they ran as suspects. Facts expire. A fact from a peer has the peer's remaining time, so that entries cannot extend
// it by announcing it to each other.
class suspect_registry {
public:
    struct options {
        // How long a fingerprint stays suspect after a crash.
        std::chrono::milliseconds suspectTime { 60'000 };
        // How long a fingerprint is refused after it crashed an upstream as a suspect.
        std::chrono::milliseconds refusalTime { 600'000 };
        // Maximum number of facts. A full registry evicts the fact that expires first.
        std::size_t maxFacts = 1024;
    };

    explicit suspect_registry(options settings)
        : m_options(settings)
    {
    }

    // Records that an attempt was running when its upstream crashed. Returns the fact to announce to the other entries.
    suspect_fact recordCrash(std::uint64_t fingerprint, bool ranAsSuspect, instant now);
    // Records that an attempt ran to its end, which removes a suspicion but not a refusal.
    void recordCompletion(std::uint64_t fingerprint);
    // Adds a fact from a peer.
    void merge(const suspect_fact&, instant now);
    // Adds the suspects and refused fingerprints of a sidecar's report. A report contains no remaining times, so both are
    // valid for suspectTime from now. Later reports that still name them extend this time.
    void merge(const report&, instant now);

    // Whether the fingerprint is suspect or refused.
    bool isSuspect(std::uint64_t fingerprint, instant now) const;
    // Returns the remaining time for which the fingerprint is refused, or nothing.
    std::optional<std::chrono::milliseconds> refusedFor(std::uint64_t fingerprint, instant now) const;
    std::size_t size() const { return m_facts.size(); }

private:
    struct fact {
        bool refused = false;
        instant expiresAt;
    };

    void store(std::uint64_t fingerprint, bool refused, instant expiresAt, instant now);
    const fact* find(std::uint64_t fingerprint, instant now) const;

    options m_options;
    std::map<std::uint64_t, fact> m_facts;
};

} // namespace kumquat
