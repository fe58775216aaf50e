#pragma once

#include "core/clock.h"
#include "core/crash_report.h"
#include "core/store_position.h"
#include "core/upstream_record.h"
#include "servers/router/prompt_cache_model.h"
#include "servers/router/upstream_quota.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquat::router {

// An attempt whose connection ended before its answer was complete.
struct broken_attempt {
    // What may have crashed the upstream, in the order of the prompt; a request itself comes first.
    std::vector<crash_suspect> suspects;
    // Hash of the request.
    std::uint32_t request = 0;
    instant brokenAt;
};

// One upstream: its record in the store, this router's load there, and the failures that it observed.
struct upstream_state {
    upstream_record record;
    // A hash of the id, by which digests refer to the upstream.
    std::uint32_t key = 0;
    // A hash of its service and software version. What upstreams with different ones write can't be joined to one stream.
    std::uint64_t versionKey = 0;
    // The position of the record in the store, and when this router read it.
    store_position position;
    instant readAt;
    // This router's attempts there that have not ended.
    int inFlight = 0;
    // Uncached prompt tokens of those attempts that have not delivered an event yet.
    double uncachedPromptTokens = 0;
    // Attempts that have delivered their first event.
    int streams = 0;
    prompt_cache_model promptCache;
    // It has dropped an idle connection, or has crashed; the check of its connections will tell.
    bool hasDroppedConnection = false;
    // Attempts that ended without their answer. They are suspects if the upstream turns out to have crashed.
    std::vector<broken_attempt> brokenAttempts;
    // When the upstream was last found to have crashed.
    std::optional<instant> crashedAt;
    // When this router last checked whether it accepts connections.
    std::optional<instant> checkedAt;
    // When the last such check was begun that it accepted.
    std::optional<instant> acceptedAt;
    // Consecutive attempts that failed without an answer.
    int consecutiveFailures = 0;
    // The upstream has stated in an answer, to this or another router, that it is shutting down. Only a successor with another
    // start time accepts requests again.
    bool announcedLeaving = false;
    // No attempt is started here before this time, unless all upstreams of the service are in back-off.
    instant backoffUntil;
    // Another upstream has answered at this address, so the record is out of date.
    bool staleAddress = false;
    // The era of the store in which the record was last read as leaving. The record of a restored store may be older than
    // the leaving, so a ready record counts only if it is of the same era.
    std::optional<std::uint64_t> leavingEra;
    // No attempt is started here before this time, even if all other upstreams are unavailable.
    instant blockedUntil;
    // Present while the upstream limits the requests of all routers together.
    std::optional<upstream_quota> quota;
    // Set if the record expired during an outage of the store: the upstream is removed at this time unless the record has
    // returned.
    std::optional<instant> expiresAt;

    bool inService() const { return !record.leaving && !announcedLeaving && !staleAddress; }
    bool acceptsRequests(instant now) const { return inService() && timeUntilAccepting(now) == duration {}; }
    // How long until the pause that the upstream has asked for is over and its limit leaves this router a request, or nothing
    // if this router has no share of the limit.
    std::optional<duration> timeUntilAccepting(instant now) const;
};

// Hashes a service and a software version. All routers compute the same value.
std::uint64_t hashVersion(const std::string& service, const std::string& version);

using shared_upstream = std::shared_ptr<upstream_state>;

// What upstream_table::put has changed.
enum class table_change { none,
    added,
    restarted,
    leaving,
    updated };

// The upstreams whose records are in the store.
class upstream_table {
public:
    // Adds or updates an upstream. An upstream that has restarted, or changed its address or service, is replaced by a new
    // one without load or history. One that was removed a short time ago and returns continues with its load and history;
    // if the record comes from a restored store, it may be older than the removal, and the upstream stays blocked for a
    // time.
    table_change put(const upstream_record&, store_position, instant now);
    // Removes an upstream and returns it, or null if it is unknown.
    shared_upstream remove(const std::string& id, instant now);
    // Returns null if the id is unknown.
    shared_upstream find(const std::string& id) const;
    // Returns null if no id has that hash.
    shared_upstream findByKey(std::uint32_t key) const;
    // The upstreams of a service, in the order of their ids.
    const std::vector<shared_upstream>& ofService(const std::string& service) const;
    std::vector<shared_upstream> all() const;
    std::size_t size() const { return m_byId.size(); }

private:
    struct removed_upstream {
        shared_upstream upstream;
        instant removedAt;
    };

    table_change update(upstream_state&, const upstream_record&, store_position, instant now);
    // Adds an upstream again that was removed a short time ago. Returns null if there is none with the same start.
    shared_upstream reinstate(const upstream_record&, store_position);
    // Passes on to a new entry what the one that was removed under its id has stated, if that has another address or service
    // but the same start. Blocks the new entry if it is older than the removed one.
    void inheritFromRemoved(upstream_state&) const;
    void insert(shared_upstream);

    std::unordered_map<std::string, shared_upstream> m_byId;
    std::unordered_map<std::string, removed_upstream> m_removed;
    std::unordered_map<std::uint32_t, shared_upstream> m_byKey;
    std::unordered_map<std::string, std::vector<shared_upstream>> m_byService;
};

} // namespace kumquat::router
