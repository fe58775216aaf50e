#include "servers/entry/entry_reducer.h"

namespace kumquat {

namespace {

    // Attempts of one request that may be running when their upstream crashes; at this count the request fails.
    constexpr std::uint32_t maxCrashesPerRequest = 2;

} // namespace

void entry_reducer::handleCrash(request_record& record, const offer_failed& message)
{
    const auto fact = m_suspects.recordCrash(record.fingerprint, record.attempt->suspect, m_now);
    record.crashes++;
    log(log_level::warning, "upstream_crashed", record, { { "upstream", record.attempt->upstreamId }, { "suspect", record.attempt->suspect ? "true" : "false" } });
    announceSuspect(fact);
    if (fact.refused || record.crashes >= maxCrashesPerRequest) {
        failRequest(record, { .code = error_code::request_suspected, .message = "the request was running during " + std::to_string(record.crashes) + " upstream crashes", .retryAfter = fact.timeLeft });
        return;
    }
    retryFailed(record, { .code = message.reason, .message = message.message });
}

void entry_reducer::announceSuspect(const suspect_fact& fact)
{
    for (const auto& [id, address] : m_entryAddresses)
        m_effects->push_back(send_to_entry { address, suspect_notice { self(), { fact } } });
}

void entry_reducer::receive(const suspect_notice& message)
{
    for (const auto& fact : message.facts)
        m_suspects.merge(fact, m_now);
}

bool entry_reducer::acquireSuspectLock(const request_record& record)
{
    if (!m_suspects.isSuspect(record.fingerprint, m_now))
        return true;
    const auto [lock, isAcquired] = m_suspectLocks.try_emplace(record.fingerprint, record.id);
    if (isAcquired || lock->second == record.id)
        return true;
    m_suspectWaiters[record.fingerprint].push_back(record.id);
    return false;
}

void entry_reducer::releaseSuspectLock(const request_record& record)
{
    const auto lock = m_suspectLocks.find(record.fingerprint);
    if (lock == m_suspectLocks.end() || lock->second != record.id)
        return;
    m_suspectLocks.erase(lock);
    const auto waiting = m_suspectWaiters.find(record.fingerprint);
    if (waiting == m_suspectWaiters.end())
        return;
    // The timers of all waiting requests become due now: the first dispatched one acquires the lock, the others queue again.
    for (const auto& id : waiting->second) {
        if (m_requests.contains(id))
            m_timers.set(id, m_now);
    }
    m_suspectWaiters.erase(waiting);
}

} // namespace kumquat
