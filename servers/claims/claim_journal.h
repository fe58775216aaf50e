#pragma once

#include "core/clock.h"
#include "servers/claims/claim_effect.h"
#include "servers/claims/claim_event.h"
#include "servers/claims/claim_index.h"
#include "servers/claims/claim_options.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// Reads the journal of one shard from the object API and appends to it. At most one call of the object API is
// outstanding; records that arrive during a call are committed together in the next segment. When the response to a
// write is lost, the segment with that number is read back before anything else is written.
class claim_journal {
public:
    // Changes caused by one response of the object API.
    struct updates {
        // The call failed, so the object API counts as unavailable.
        bool failed = false;
        // Every segment that existed when the last call started has been applied.
        bool reachedEnd = false;
        // Segments applied to the index by this response, in order.
        std::vector<claim_segment> applied;
    };

    claim_journal(std::uint32_t shard, const claim_options&);

    const claim_index& index() const { return m_index; }
    bool isLoaded() const { return m_loaded; }
    // Returns whether a call failed within the last storeRetryInterval. New requests are then refused without a call.
    bool isUnavailable(instant now) const { return now < m_unavailableUntil; }

    // Requests that the journal is listed and applied from its start.
    void requestLoad() { m_loadRequested = true; }
    // Requests that segments written by other entries are read until no further one exists.
    void requestReadToEnd() { m_readToEndRequested = true; }
    // Adds a record to those that the next commit writes.
    void append(claim_record);
    // Removes the pending claim of a denied request. A write that has started already is not cancelled.
    void removePendingClaim(const std::string& requestId);
    // Removes claims older than the retention. Marks the journal for a new listing when this entry last confirmed its end
    // more than half the retention ago.
    void expire(instant now);
    // Emits the next call of the object API if one is due and none is outstanding.
    void startNextCall(instant now, claim_effects&);
    // Returns when the next call becomes due, or nothing while a call is outstanding or none is needed.
    std::optional<instant> nextDeadline(instant now) const;

    updates handle(const claim_segments_listed&, instant now, claim_effects&);
    updates handle(const claim_segment_read&, instant now, claim_effects&);
    updates handle(const claim_segment_written&, instant now, claim_effects&);

private:
    enum class call { none,
        list,
        read,
        write };

    struct segment_metadata {
        std::uint64_t number = 0;
        std::uint64_t version = 0;
        instant writtenAt;
    };

    void apply(const numbered_segment&, instant now, updates&);
    void beginCall(call, instant now);
    updates handleCallFailure(const std::string& message, instant now, claim_effects&);
    claim_segment nextSegment();
    void removeOldSegments(instant now, claim_effects&);

    std::uint32_t m_shard;
    const claim_options& m_options;
    claim_index m_index;
    // Segments that have been applied and not been removed, oldest first.
    std::deque<segment_metadata> m_segments;
    // Number of the next segment to read or write.
    std::uint64_t m_nextNumber = 1;
    // Records that are not committed yet, including those of a write that is outstanding.
    std::vector<claim_record> m_pendingRecords;
    claim_segment m_lastWrite;
    std::uint64_t m_writeCount = 0;
    call m_call = call::none;
    instant m_callStartedAt;
    // Start of the last call whose response confirmed that this index contains the complete journal.
    instant m_endConfirmedAt;
    // Earliest time of the next commit.
    instant m_nextCommit;
    instant m_unavailableUntil;
    bool m_loadRequested = false;
    bool m_loaded = false;
    bool m_readToEndRequested = false;
    // Whether the last write was refused because its number is taken, and that segment has not been read yet.
    bool m_conflict = false;
};

} // namespace kumquat
