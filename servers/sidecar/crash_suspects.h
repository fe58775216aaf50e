#pragma once

#include "core/clock.h"
#include "core/peer_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace kumquat {

// Finds out which requests crash the upstream. What runs at a crash is suspect, by fingerprint. A suspect runs while no
// other suspect does: if it ends properly it is cleared, if the upstream crashes it is refused for a time.
//
// A broken connection is treated as a crash at once, because the request may be sent again within milliseconds. When
// neither the loss of health nor another broken connection confirms the crash, the suspicion lapses.
class crash_suspects {
public:
    struct options {
        // Time in which the loss of health or another broken connection confirms a crash.
        duration confirmation = std::chrono::seconds { 3 };
        duration suspicion = std::chrono::minutes { 10 };
        duration refusal = std::chrono::minutes { 10 };
        // Most fingerprints kept in each list; the ones that lapse first give way.
        std::size_t capacity = 1024;
    };

    explicit crash_suspects(const options& given)
        : m_options(given)
    {
    }

    void started(const attempt_id&, std::uint64_t fingerprint, bool suspect);
    // The run ended properly, which clears its fingerprint.
    void survived(const attempt_id&);
    // The run ended in a way that says nothing, such as a cancellation.
    void ended(const attempt_id&);
    void connectionBroke(const attempt_id&, instant now);
    void lostHealth(instant now);
    // The upstream answers again.
    void regainedHealth() { m_unhealthy = false; }

    bool isSuspect(std::uint64_t fingerprint) const { return m_suspects.contains(fingerprint); }
    bool isRefused(std::uint64_t fingerprint) const { return m_refused.contains(fingerprint); }
    // Returns how long the fingerprint is still refused.
    duration refusedFor(std::uint64_t fingerprint, instant now) const;
    bool suspectRuns() const { return !m_runningSuspects.empty(); }

    // Forgets what has lapsed.
    void expire(instant now);
    std::optional<instant> nextDeadline() const;

    std::vector<std::uint64_t> suspects() const { return m_suspects.keys(); }
    std::vector<std::uint64_t> refused() const { return m_refused.keys(); }
    // Grows with every change of either list, so that it can be published at once.
    std::uint64_t version() const { return m_version; }

private:
    struct broken_run {
        std::uint64_t fingerprint = 0;
        bool wasOnlySuspect = false;
        instant at;
    };

    // Fingerprints with the time at which they lapse.
    class expiring_set {
    public:
        void put(std::uint64_t fingerprint, instant until, std::size_t capacity);
        bool erase(std::uint64_t fingerprint);
        bool expire(instant now);
        bool contains(std::uint64_t fingerprint) const { return m_until.contains(fingerprint); }
        std::optional<instant> until(std::uint64_t fingerprint) const;
        std::optional<instant> nextDeadline() const;
        std::vector<std::uint64_t> keys() const;

    private:
        std::map<std::uint64_t, instant> m_until;
        std::set<std::pair<instant, std::uint64_t>> m_order;
    };

    void suspect(std::uint64_t fingerprint, instant until);
    void refuse(std::uint64_t fingerprint, instant until);
    void forgetOldBreaks(instant now);
    void confirmCrash(instant now);
    void confirm(const broken_run&, instant now);

    options m_options;
    std::map<attempt_id, std::uint64_t> m_running;
    std::set<attempt_id> m_runningSuspects;
    // Connections that broke within the confirmation time and are not yet known to have broken by a crash.
    std::vector<broken_run> m_broken;
    // Connections that break until then belong to a crash that is confirmed.
    instant m_crashUntil;
    expiring_set m_suspects;
    expiring_set m_refused;
    bool m_unhealthy = false;
    std::uint64_t m_version = 0;
};

} // namespace kumquat
