#include "servers/claims/claim_journal.h"

#include <algorithm>

namespace kumquat {

namespace {

    // Old segments removed after one commit. Each commit adds one segment, so removing up to two bounds the backlog.
    constexpr int maxRemovalsPerCommit = 2;

} // namespace

claim_journal::claim_journal(std::uint32_t shard, const claim_options& options)
    : m_shard(shard)
    , m_options(options)
    , m_index(options.retention)
{
}

void claim_journal::append(claim_record record)
{
    m_pendingRecords.push_back(std::move(record));
}

void claim_journal::removePendingClaim(const std::string& requestId)
{
    std::erase_if(m_pendingRecords, [&](const claim_record& record) {
        const auto* acquired = std::get_if<claim_acquired>(&record);
        return acquired && acquired->requestId == requestId;
    });
}

void claim_journal::expire(instant now)
{
    m_index.expire(now);
    // Other entries may have written segments and removed them again after the retention. Their numbers would look free
    // to this entry, so it lists the journal again.
    if (m_loaded && m_call == call::none && now - m_endConfirmedAt > m_options.retention / 2)
        m_loaded = false;
}

void claim_journal::startNextCall(instant now, claim_effects& effects)
{
    if (m_call != call::none || isUnavailable(now))
        return;
    if (!m_loaded) {
        if (!m_loadRequested && m_pendingRecords.empty())
            return;
        beginCall(call::list, now);
        effects.emplace_back(claim_store_call { list_claim_segments { m_shard } });
        return;
    }
    if (m_readToEndRequested) {
        beginCall(call::read, now);
        effects.emplace_back(claim_store_call { read_claim_segment { m_shard, m_nextNumber } });
        return;
    }
    if (m_pendingRecords.empty() || now < m_nextCommit)
        return;
    beginCall(call::write, now);
    m_nextCommit = now + m_options.commitInterval;
    m_lastWrite = nextSegment();
    effects.emplace_back(claim_store_call { write_claim_segment { m_shard, m_nextNumber, m_lastWrite } });
    effects.emplace_back(count_metric { "kumquat_claim_writes_total", {} });
}

std::optional<instant> claim_journal::nextDeadline(instant now) const
{
    if (m_call != call::none || (m_loaded && m_pendingRecords.empty() && !m_readToEndRequested))
        return std::nullopt;
    if (!m_loaded && !m_loadRequested && m_pendingRecords.empty())
        return std::nullopt;
    if (isUnavailable(now))
        return m_unavailableUntil;
    return std::max(now, m_nextCommit);
}

void claim_journal::beginCall(call kind, instant now)
{
    m_call = kind;
    m_callStartedAt = now;
}

claim_segment claim_journal::nextSegment()
{
    claim_segment segment;
    segment.writeId = m_options.self.id + "-" + std::to_string(m_options.self.incarnation) + "-" + std::to_string(++m_writeCount);
    std::size_t bytes = 0;
    for (const auto& record : m_pendingRecords) {
        bytes += sizeOf(record);
        if (bytes > m_options.segmentLimitBytes && !segment.records.empty())
            break;
        segment.records.push_back(record);
    }
    return segment;
}

void claim_journal::apply(const numbered_segment& segment, instant now, updates& result)
{
    m_index.apply(segment.number, segment.contents, now);
    m_segments.push_back({ segment.number, segment.version, now - segment.contents.age });
    m_nextNumber = segment.number + 1;
    std::erase_if(m_pendingRecords, [this](const claim_record& record) { return !m_index.wouldApply(record); });
    result.applied.push_back(segment.contents);
}

claim_journal::updates claim_journal::handleCallFailure(const std::string& message, instant now, claim_effects& effects)
{
    m_unavailableUntil = now + m_options.storeRetryInterval;
    effects.emplace_back(log_event { log_level::warning, "claim_store_failed", { { "shard", std::to_string(m_shard) }, { "message", message } } });
    return { .failed = true };
}

claim_journal::updates claim_journal::handle(const claim_segments_listed& event, instant now, claim_effects& effects)
{
    if (m_call != call::list)
        return {};
    m_call = call::none;
    if (const auto* failure = errorOf(event.segments))
        return handleCallFailure(failure->message, now, effects);
    m_index = claim_index(m_options.retention);
    m_segments.clear();
    m_nextNumber = 1;
    updates result { .reachedEnd = true };
    for (const auto& segment : valueOf(event.segments))
        apply(segment, now, result);
    m_index.expire(now);
    m_loaded = true;
    m_loadRequested = m_readToEndRequested = m_conflict = false;
    m_endConfirmedAt = m_callStartedAt;
    return result;
}

claim_journal::updates claim_journal::handle(const claim_segment_read& event, instant now, claim_effects& effects)
{
    if (m_call != call::read || event.number != m_nextNumber)
        return {};
    m_call = call::none;
    if (const auto* failure = errorOf(event.segment))
        return handleCallFailure(failure->message, now, effects);
    updates result;
    if (const auto& segment = valueOf(event.segment)) {
        if (segment->contents.writeId == m_lastWrite.writeId)
            effects.emplace_back(log_event { log_level::info, "claim_write_recovered", { { "shard", std::to_string(m_shard) }, { "write", m_lastWrite.writeId } } });
        m_conflict = false;
        apply(*segment, now, result);
        return result;
    }
    m_readToEndRequested = false;
    // The segment that took the number has been removed after the retention, so this index is out of date.
    if (m_conflict)
        m_loaded = false;
    m_loadRequested = m_conflict;
    m_conflict = false;
    result.reachedEnd = m_loaded;
    m_endConfirmedAt = m_callStartedAt;
    return result;
}

claim_journal::updates claim_journal::handle(const claim_segment_written& event, instant now, claim_effects& effects)
{
    if (m_call != call::write || event.number != m_nextNumber)
        return {};
    m_call = call::none;
    if (event.outcome != claim_write_outcome::written) {
        m_readToEndRequested = true;
        m_conflict = event.outcome == claim_write_outcome::conflict;
        effects.emplace_back(count_metric { m_conflict ? "kumquat_claim_conflicts_total" : "kumquat_claim_lost_total", {} });
        return {};
    }
    updates result;
    // The age counts from the start of the call, since this process may have been suspended while the call ran.
    m_lastWrite.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_callStartedAt);
    apply({ event.number, event.version, m_lastWrite }, now, result);
    m_endConfirmedAt = m_callStartedAt;
    removeOldSegments(now, effects);
    return result;
}

// The newest segment is never removed: its number is the only record of which number comes next.
void claim_journal::removeOldSegments(instant now, claim_effects& effects)
{
    for (int count = 0; count < maxRemovalsPerCommit && m_segments.size() > 1; ++count) {
        const auto& oldest = m_segments.front();
        if (oldest.writtenAt + m_options.retention > now)
            return;
        effects.emplace_back(claim_store_call { remove_claim_segment { m_shard, oldest.number, oldest.version } });
        m_segments.pop_front();
    }
}

} // namespace kumquat
