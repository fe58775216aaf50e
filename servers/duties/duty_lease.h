#pragma once

#include "core/clock.h"
#include "core/duty_store_call.h"

#include <cstdint>
#include <optional>
#include <string>

namespace kumquat::duties {

struct lease_options {
    // The name of this instance.
    std::string holder;
    // A random number that this process has drawn at its start. Two instances may state the same name.
    std::uint64_t incarnation = 0;
    duration leaseDuration {};
};

// What a router does next about the record in the store.
enum class lease_step { wait,
    read,
    write };

// What an answer of the store, an announcement or an interruption has changed.
enum class lease_change { none,
    acquired,
    lost_to_other,
    lost_in_restore,
    released };

// The part of the record that the lease keeps but does not interpret.
struct record_content {
    std::vector<decided_window> windows;
    std::uint64_t firstUndecided = 0;

    bool operator==(const record_content&) const = default;
};

// Decides when the duty record is read and written, and whether this router may make a call to the platform's API now. One call to the
// store is in progress at a time. Times are those of the monotonic clock.
class duty_lease {
public:
    duty_lease(lease_options, instant now);

    // Another router holds the lease, as of an announcement that it made at that time.
    lease_change onAnnouncement(std::uint64_t token, instant madeAt, instant now);
    // This router is a deputy of the last holder, and tries to succeed it before the others do.
    void setDeputy(bool isDeputy) { m_isDeputy = isDeputy; }

    // What to do now. A write is due early if the content has changed.
    lease_step nextStep(bool contentChanged, instant now) const;
    // When the next step is due, or nothing if it depends on an answer.
    std::optional<instant> nextStepAt(bool contentChanged) const;
    duty_store_call beginRead(instant now);
    // Acquires, renews or releases the lease.
    duty_store_call beginWrite(record_content, instant now);
    // A write may not be sent at that time or later. If the store was restored meanwhile, it could meet its old condition and replace the
    // record of another holder.
    instant writeBefore() const { return m_knownAt ? *m_knownAt + m_options.leaseDuration / 2 : instant::min(); }
    // Takes the outcome of the call in progress, with the era that the store named.
    lease_change onAnswer(const duty_store_answer&, std::optional<std::uint64_t> era, instant now);

    // The process was suspended or stalled: what it has observed may be out of date.
    void interrupt(instant now);
    // Gives up the lease and does not acquire it again.
    void release();
    // Lets the lease expire and makes no more calls to the store.
    void abandon();
    // Has to be called when a call to the platform's API is sent, and when it ends.
    void recordCall(instant now) { m_lastCallAt = now; }

    // Whether a call to the platform's API may be sent now.
    bool mayCall(instant now) const { return m_owned && !m_releasing && m_validUntil && now < *m_validUntil; }
    // Until when calls may be sent, unless the lease is renewed.
    std::optional<instant> validUntil() const { return m_validUntil; }
    // Whether the record in the store is the own one, as far as is known. The lease may have expired.
    bool owned() const { return m_owned; }
    // The record as the store last confirmed it, or nothing if there is none.
    const duty_record* record() const { return m_known ? &m_known->record : nullptr; }
    bool callInProgress() const { return m_call.has_value(); }
    // Whether the lease is to be given up and the store has not confirmed that yet.
    bool isReleasing() const { return m_releasing && !m_abandoned && (m_owned || (m_call && m_call->written)); }

    // Whether the next write follows no record of the present era, so that windows which ended before the router saw this era may have
    // been decided in a record that is lost.
    bool followsRestore() const { return !m_owned && (!m_known || m_known->record.era < m_era.value_or(0)); }
    // When the router first had an answer of the present era.
    instant eraSeenAt() const { return m_eraSeenAt; }

private:
    struct pending_call {
        instant sentAt;
        // The written record; absent for a read.
        std::optional<duty_record> written;
        // The process has run without interruption since the call was sent.
        bool uninterrupted = true;
    };
    struct planned_step {
        lease_step step = lease_step::wait;
        instant at;
    };
    // A revision of the record, or its absence, and when this router first read it.
    struct observation {
        std::optional<std::uint64_t> revision;
        instant firstReadAt;
    };

    std::optional<planned_step> plan(bool contentChanged) const;
    // When this router may read the record although there is no sign of a holder.
    instant quietAt() const;
    // The earliest time at which a read may lead to an acquisition.
    instant acquireAt() const;
    duration nameDelay() const;
    lease_change lose(lease_change cause);
    lease_change onRecord(const stored_duty_record&, const pending_call&, instant now);
    lease_change onWritten(std::uint64_t revision, pending_call&&);
    void onFailure(pending_call&&, instant now);
    void observe(std::optional<std::uint64_t> revision, const pending_call&, instant now);
    void enterEra(std::uint64_t era, instant now);
    duty_record succeed() const;

    lease_options m_options;
    std::optional<pending_call> m_call;
    // A write whose outcome is unknown until the record has been read.
    std::optional<pending_call> m_unknown;
    std::optional<stored_duty_record> m_known;
    // When the call was sent whose answer told the record last; nothing after an interruption.
    std::optional<instant> m_knownAt;
    bool m_owned = false;
    std::optional<instant> m_validUntil;
    instant m_writtenAt;
    std::optional<observation> m_observed;
    // The observation is complete, and the record may be written in the same step.
    bool m_mayAcquire = false;
    std::optional<std::uint64_t> m_era;
    instant m_eraSeenAt;
    instant m_heardAt;
    instant m_newestAnnouncement;
    std::uint64_t m_highestToken = 0;
    bool m_isDeputy = false;
    std::optional<instant> m_lastCallAt;
    // When this router first read that it is named as an earlier holder.
    std::optional<instant> m_namedAt;
    bool m_releasing = false;
    bool m_releaseSent = false;
    bool m_abandoned = false;
    int m_failures = 0;
    instant m_retryAt;
    std::uint64_t m_writes = 0;
};

} // namespace kumquat::duties
