#pragma once

#include "core/clock.h"
#include "core/peer_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace kumquat {

// What an entry knows of requests that crash upstreams, by fingerprint. Facts expire; a fact that a peer passes on keeps
// its remaining time, so that entries cannot keep it alive by telling each other.
class suspect_registry {
public:
    struct options {
        std::chrono::milliseconds suspectTime { 60'000 };
        std::chrono::milliseconds refusalTime { 600'000 };
        std::size_t limit = 1024;
    };

    explicit suspect_registry(options settings)
        : m_options(settings)
    {
    }

    // Records that an attempt was running when its upstream crashed. Returns the fact that the other entries need.
    suspect_fact recordCrash(std::uint64_t fingerprint, bool ranAsSuspect, instant now);
    // A run to the end clears the suspicion, but no refusal.
    void recordSurvival(std::uint64_t fingerprint);
    void learn(const suspect_fact&, instant now);
    void learn(const report&, instant now);

    bool isSuspect(std::uint64_t fingerprint, instant now) const;
    // Returns how long the fingerprint is still refused, or nothing.
    std::optional<std::chrono::milliseconds> refusedFor(std::uint64_t fingerprint, instant now) const;
    std::size_t size() const { return m_facts.size(); }

private:
    struct fact {
        bool refused = false;
        instant until;
    };

    void keep(std::uint64_t fingerprint, bool refused, instant until, instant now);
    const fact* find(std::uint64_t fingerprint, instant now) const;

    options m_options;
    std::map<std::uint64_t, fact> m_facts;
};

} // namespace kumquat
