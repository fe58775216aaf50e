#pragma once

#include "core/clock.h"
#include "core/peer_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace kumquat {

// Finds out which requests crash the upstream. Every request that runs during a crash becomes a suspect, identified by its
// fingerprint. At most one suspect runs at a time: if its run ends properly, its fingerprint is cleared; if the upstream
// crashes, its fingerprint is refused for options::refusalTime.
//
// A single broken connection is treated as a crash immediately, because the request may arrive again within milliseconds.
// If neither a loss of health nor another broken connection confirms the crash within options::confirmationTime, the
// suspicion expires.
class crash_suspects {
public:
    struct options {
        // Time within which a loss of health or another broken connection confirms a crash.
        duration confirmationTime = std::chrono::seconds { 3 };
        duration suspicionTime = std::chrono::minutes { 10 };
        duration refusalTime = std::chrono::minutes { 10 };
        // Maximum number of fingerprints in each list. A full list evicts the fingerprint that expires first.
        std::size_t capacity = 1024;
    };

    explicit crash_suspects(const options& crashOptions)
        : m_options(crashOptions)
    {
    }

    // Records that a run has started. The flag says whether it is scheduled as a suspect.
    void recordStart(const attempt_id&, std::uint64_t fingerprint, bool suspect);
    // Records that the run ended properly, and clears its fingerprint.
    void recordProperEnd(const attempt_id&);
    // Records that the run ended in a way that neither clears nor incriminates its fingerprint, such as a cancellation.
    void recordInconclusiveEnd(const attempt_id&);
    // Records that the connection of the run broke before its answer was complete.
    void recordBrokenConnection(const attempt_id&, instant now);
    // Records that the upstream has failed a health check, which confirms a crash if connections broke before.
    void recordHealthLoss(instant now);
    // Records that the upstream responds to health checks again.
    void recordHealthRecovery() { m_unhealthy = false; }

    bool isSuspect(std::uint64_t fingerprint) const { return m_suspects.contains(fingerprint); }
    bool isRefused(std::uint64_t fingerprint) const { return m_refused.contains(fingerprint); }
    // Returns for how long the fingerprint is still refused, or zero if it is not refused.
    duration remainingRefusalTime(std::uint64_t fingerprint, instant now) const;
    bool isSuspectRunning() const { return !m_runningSuspects.empty(); }

    // Removes the suspicions and refusals that have expired.
    void expire(instant now);
    std::optional<instant> nextDeadline() const;

    std::vector<std::uint64_t> suspects() const { return m_suspects.keys(); }
    std::vector<std::uint64_t> refused() const { return m_refused.keys(); }
    // Increases with every change of either list. The owner publishes the lists when it differs.
    std::uint64_t version() const { return m_version; }

private:
    struct broken_run {
        std::uint64_t fingerprint = 0;
        bool wasOnlySuspect = false;
        instant brokeAt;
    };

    // Fingerprints with their expiry times.
    class expiring_set {
    public:
        void put(std::uint64_t fingerprint, instant expiry, std::size_t capacity);
        bool erase(std::uint64_t fingerprint);
        bool expire(instant now);
        bool contains(std::uint64_t fingerprint) const { return m_expiryTimes.contains(fingerprint); }
        std::optional<instant> expiryOf(std::uint64_t fingerprint) const;
        std::optional<instant> nextDeadline() const;
        std::vector<std::uint64_t> keys() const;

    private:
        std::map<std::uint64_t, instant> m_expiryTimes;
        std::set<std::pair<instant, std::uint64_t>> m_byExpiry;
    };

    void addSuspect(std::uint64_t fingerprint, instant expiry);
    void addRefusal(std::uint64_t fingerprint, instant expiry);
    void removeExpiredBreaks(instant now);
    void confirmCrash(instant now);
    void confirmSuspicion(const broken_run&, instant now);

    options m_options;
    std::map<attempt_id, std::uint64_t> m_running;
    std::set<attempt_id> m_runningSuspects;
    // Connections that broke within the confirmation time and have not been attributed to a crash yet.
    std::vector<broken_run> m_unconfirmedBreaks;
    // Connections that break before this time are attributed to the crash that was confirmed last.
    instant m_confirmedCrashEnd;
    expiring_set m_suspects;
    expiring_set m_refused;
    bool m_unhealthy = false;
    std::uint64_t m_version = 0;
};

} // namespace kumquat
