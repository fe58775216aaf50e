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

// Reads and extends the journal of one shard. One call of the object API is outstanding at a time; records that arrive
// meanwhile are committed together by the next one. After a lost answer the segment's number is read back before
// anything else is written.
class claim_journal {
public:
    // What an answer of the object API brought.
    struct news {
        // The object API cannot be used at present.
        bool failed = false;
        // Every segment that existed when the last read was made has been applied.
        bool caughtUp = false;
        // Segments that became part of the journal, in order.
        std::vector<claim_segment> applied;
    };

    claim_journal(std::uint32_t shard, const claim_options&);

    const claim_index& index() const { return m_index; }
    bool isLoaded() const { return m_loaded; }
    // Whether a call failed so recently that requests are refused without another one.
    bool isUnavailable(instant now) const { return now < m_unavailableUntil; }

    void load() { m_loadWanted = true; }
    // Reads on until no further segment exists.
    void catchUp() { m_catchUp = true; }
    void append(claim_record);
    // Drops the claim of a request that has been given up, unless its write is under way.
    void dropClaim(const std::string& requestId);
    // Drops what is older than the retention, and reloads a journal that has not been looked at for too long.
    void expire(instant now);
    // Starts the next call of the object API, if one is due.
    void pump(instant now, claim_effects&);
    std::optional<instant> nextDeadline(instant now) const;

    news handle(const claim_segments_listed&, instant now, claim_effects&);
    news handle(const claim_segment_read&, instant now, claim_effects&);
    news handle(const claim_segment_written&, instant now, claim_effects&);

private:
    enum class call { none,
        list,
        read,
        write };

    struct segment_stamp {
        std::uint64_t number = 0;
        std::uint64_t version = 0;
        instant writtenAt;
    };

    void apply(const numbered_segment&, instant now, news&);
    void beginCall(call, instant now);
    news failCall(const std::string& message, instant now, claim_effects&);
    claim_segment nextSegment();
    void dropOldSegments(instant now, claim_effects&);

    std::uint32_t m_shard;
    const claim_options& m_options;
    claim_index m_index;
    std::deque<segment_stamp> m_segments;
    std::uint64_t m_next = 1;
    std::vector<claim_record> m_pending;
    claim_segment m_written;
    std::uint64_t m_writes = 0;
    call m_call = call::none;
    instant m_calledAt;
    // The last moment at which the journal was certainly known to its end.
    instant m_knownAt;
    instant m_nextCommit;
    instant m_unavailableUntil;
    bool m_loadWanted = false;
    bool m_loaded = false;
    bool m_catchUp = false;
    // The number is taken, but the segment has not been read yet.
    bool m_conflict = false;
};

} // namespace kumquat
