#include "servers/duties/duty_lease.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace kumquat::duties {

namespace {

    constexpr unsigned eraShift = 20;
    // Numbers in JSON are exact up to this.
    constexpr std::uint64_t exactMask = (std::uint64_t(1) << 53U) - 1;
    // The store may execute an unanswered write this much later. After a restore, revisions are given out again, so that such a write
    // of the era before can meet its condition. It was sent less than LeaseMs / 2 after the restore (writeBefore).
    constexpr auto lateWriteLimit = std::chrono::seconds(6);
    // Routers that hear of no holder read the record over this time, deputies in the first part of it.
    constexpr duration spread = std::chrono::seconds(2);
    constexpr duration deputySpread = std::chrono::milliseconds(200);
    // An announcement that other routers pass on grows older. Inaccuracies of its age must not make it look like a new one.
    constexpr auto announcementStep = std::chrono::milliseconds(100);
    constexpr auto minWriteInterval = std::chrono::milliseconds(200);
    constexpr duration initialPause = std::chrono::milliseconds(200);
    constexpr int maxPauseDoublings = 3;
    // All holders of the last LeaseMs are among them: each change of holder takes the store several calls.
    constexpr std::size_t maxEarlierHolders = 8;

} // namespace

duty_lease::duty_lease(lease_options options, instant now)
    : m_options(std::move(options))
    , m_writtenAt(now)
    , m_eraSeenAt(now)
    , m_heardAt(now)
    , m_newestAnnouncement(now - m_options.leaseDuration)
    , m_retryAt(now)
{
}

lease_change duty_lease::onAnnouncement(std::uint64_t token, instant madeAt, instant now)
{
    const auto ownToken = m_owned ? m_known->record.token : 0;
    if (token <= ownToken || token < m_highestToken || madeAt < m_newestAnnouncement + announcementStep)
        return lease_change::none;
    m_highestToken = token;
    m_newestAnnouncement = madeAt;
    m_heardAt = now;
    m_observed.reset();
    m_mayAcquire = false;
    return m_owned ? lose(lease_change::lost_to_other) : lease_change::none;
}

duration duty_lease::nameDelay() const
{
    const auto first = m_isDeputy ? duration::zero() : deputySpread;
    const auto last = m_isDeputy ? deputySpread : spread;
    return first + duration(static_cast<duration::rep>(hashBytes(m_options.holder) % static_cast<std::uint64_t>((last - first).count())));
}

instant duty_lease::quietAt() const
{
    return m_heardAt + m_options.leaseDuration / 2 + nameDelay();
}

instant duty_lease::acquireAt() const
{
    instant earliest = instant::min();
    const auto* previous = record();
    // A record that exists has to stay unchanged for long enough, unless its holder has given up the lease.
    if (previous && !previous->released)
        earliest = m_observed->firstReadAt + m_options.leaseDuration;
    if (followsRestore() && m_era.value_or(0) > 0)
        earliest = std::max(earliest, m_eraSeenAt + lateWriteLimit + m_options.leaseDuration / 2);
    // Holders must not act in the order A, B, A within the duration of a lease.
    if (m_lastCallAt && (!previous || previous->incarnation != m_options.incarnation))
        earliest = std::max(earliest, *m_lastCallAt + m_options.leaseDuration);
    if (m_namedAt)
        earliest = std::max(earliest, *m_namedAt + m_options.leaseDuration);
    return earliest;
}

std::optional<duty_lease::planned_step> duty_lease::plan(bool contentChanged) const
{
    if (m_call || m_releaseSent || m_abandoned)
        return std::nullopt;
    if (m_unknown)
        return planned_step { lease_step::read, m_retryAt };
    if (m_owned && m_releasing)
        return planned_step { lease_step::write, m_retryAt };
    if (m_owned) {
        const bool isUrgent = contentChanged || !m_validUntil;
        const auto interval = isUrgent ? minWriteInterval : m_options.leaseDuration / 3;
        return planned_step { lease_step::write, std::max(m_retryAt, m_writtenAt + interval) };
    }
    if (m_releasing)
        return std::nullopt;
    if (m_mayAcquire)
        return planned_step { lease_step::write, m_retryAt };
    const auto due = std::max(m_retryAt, quietAt());
    return planned_step { lease_step::read, m_observed ? std::max(due, acquireAt()) : due };
}

lease_step duty_lease::nextStep(bool contentChanged, instant now) const
{
    const auto next = plan(contentChanged);
    if (!next || now < next->at)
        return lease_step::wait;
    return next->step == lease_step::write && now >= writeBefore() ? lease_step::read : next->step;
}

std::optional<instant> duty_lease::nextStepAt(bool contentChanged) const
{
    const auto next = plan(contentChanged);
    return next ? std::optional(next->at) : std::nullopt;
}

duty_store_call duty_lease::beginRead(instant now)
{
    m_call = pending_call { now, std::nullopt };
    return read_duty_record {};
}

// The record with which this router becomes the holder after that of the known record.
duty_record duty_lease::succeed() const
{
    duty_record next;
    next.holder = m_options.holder;
    next.incarnation = m_options.incarnation;
    next.era = m_era.value_or(0);
    const auto* previous = record();
    next.token = std::max({ (next.era << eraShift) + 1, m_highestToken + 1, previous ? previous->token + 1 : 0 });
    if (!previous)
        return next;
    next.earlierHolders = previous->earlierHolders;
    if (previous->holder != next.holder) {
        std::erase(next.earlierHolders, previous->holder);
        next.earlierHolders.insert(next.earlierHolders.begin(), previous->holder);
    }
    if (next.earlierHolders.size() > maxEarlierHolders)
        next.earlierHolders.resize(maxEarlierHolders);
    return next;
}

duty_store_call duty_lease::beginWrite(record_content content, instant now)
{
    auto next = m_owned ? m_known->record : succeed();
    next.windows = std::move(content.windows);
    next.firstUndecided = content.firstUndecided;
    next.released = m_owned && m_releasing;
    next.writeId = hashBytes(std::to_string(++m_writes), m_options.incarnation) & exactMask;
    m_mayAcquire = false;
    m_releaseSent = next.released;
    m_writtenAt = now;
    m_call = pending_call { now, next };
    return write_duty_record { m_known ? std::optional(m_known->revision) : std::nullopt, std::move(next) };
}

lease_change duty_lease::onAnswer(const duty_store_answer& answer, std::optional<std::uint64_t> era, instant now)
{
    if (!m_call)
        return lease_change::none;
    auto call = *std::exchange(m_call, std::nullopt);
    // An answer of an earlier era was under way when the store was restored.
    if (std::holds_alternative<duty_call_failed>(answer) || era.value_or(0) < m_era.value_or(0)) {
        onFailure(std::move(call), now);
        return lease_change::none;
    }
    m_failures = 0;
    m_retryAt = now;
    if (call.uninterrupted)
        m_knownAt = call.sentAt;
    const bool isRestored = m_era && era.value_or(0) > *m_era;
    const auto loss = isRestored && m_owned ? lose(lease_change::lost_in_restore) : lease_change::none;
    if (!m_era || isRestored)
        enterEra(era.value_or(0), now);
    if (const auto* stored = std::get_if<stored_duty_record>(&answer)) {
        const auto change = onRecord(*stored, call, now);
        return loss != lease_change::none ? loss : change;
    }
    if (const auto* written = std::get_if<duty_record_written>(&answer))
        // A write that took effect in another era than that of the read before it proves nothing. The record is read again.
        return isRestored ? loss : onWritten(written->revision, std::move(call));
    m_known.reset();
    m_unknown.reset();
    const auto change = m_owned ? lose(lease_change::lost_in_restore) : loss;
    observe(std::nullopt, call, now);
    return change;
}

void duty_lease::enterEra(std::uint64_t era, instant now)
{
    m_era = era;
    m_eraSeenAt = now;
    m_known.reset();
    m_unknown.reset();
    m_observed.reset();
}

lease_change duty_lease::lose(lease_change cause)
{
    m_owned = false;
    m_validUntil.reset();
    m_observed.reset();
    return cause;
}

lease_change duty_lease::onRecord(const stored_duty_record& stored, const pending_call& call, instant now)
{
    const auto unknown = std::exchange(m_unknown, std::nullopt);
    m_known = stored;
    const auto& found = stored.record;
    if (found.incarnation == m_options.incarnation && found.era == *m_era && !found.released) {
        const bool tookEffect = unknown && unknown->written->writeId == found.writeId;
        if (tookEffect && unknown->uninterrupted)
            m_validUntil = std::max(m_validUntil.value_or(instant::min()), unknown->sentAt + m_options.leaseDuration * 3 / 4);
        return std::exchange(m_owned, true) ? lease_change::none : lease_change::acquired;
    }
    auto change = lease_change::none;
    if (m_owned) {
        change = lose(lease_change::lost_to_other);
        m_heardAt = now;
    }
    observe(stored.revision, call, now);
    return change;
}

void duty_lease::observe(std::optional<std::uint64_t> revision, const pending_call& call, instant now)
{
    if (!m_observed || m_observed->revision != revision)
        m_observed = observation { revision, now };
    const auto* found = record();
    const bool isNamed = found && std::find(found->earlierHolders.begin(), found->earlierHolders.end(), m_options.holder) != found->earlierHolders.end();
    if (!isNamed)
        m_namedAt.reset();
    else if (!m_namedAt)
        m_namedAt = now;
    m_mayAcquire = !m_releasing && call.uninterrupted && call.sentAt >= std::max(acquireAt(), quietAt());
}

lease_change duty_lease::onWritten(std::uint64_t revision, pending_call&& call)
{
    if (!call.written)
        return lease_change::none;
    m_known = stored_duty_record { revision, *std::move(call.written) };
    if (m_known->record.released) {
        lose(lease_change::released);
        return lease_change::released;
    }
    if (call.uninterrupted)
        m_validUntil = call.sentAt + m_options.leaseDuration * 3 / 4;
    return std::exchange(m_owned, true) ? lease_change::none : lease_change::acquired;
}

void duty_lease::onFailure(pending_call&& call, instant now)
{
    const duration pause = initialPause * (1 << std::min(m_failures++, maxPauseDoublings));
    const auto jitter = duration(static_cast<duration::rep>(hashBytes(std::to_string(m_failures), m_options.incarnation) % static_cast<std::uint64_t>(pause.count())));
    m_retryAt = now + pause + jitter;
    if (!call.written)
        return;
    // The process ends soon, so that it does not matter any more whether the record was released.
    m_abandoned = m_abandoned || call.written->released;
    m_unknown = std::move(call);
}

void duty_lease::interrupt(instant now)
{
    m_validUntil.reset();
    m_observed.reset();
    m_mayAcquire = false;
    m_knownAt.reset();
    m_heardAt = now;
    for (auto* call : { &m_call, &m_unknown }) {
        if (*call)
            (*call)->uninterrupted = false;
    }
}

void duty_lease::release()
{
    m_releasing = true;
    m_mayAcquire = false;
}

void duty_lease::abandon()
{
    release();
    m_abandoned = true;
}

} // namespace kumquat::duties
