#pragma once

#include "core/clock.h"
#include "core/upstream_record.h"
#include "servers/router/prompt_memory.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquat::router {

// One upstream and what this router has seen of it.
struct upstream_state {
    upstream_record record;
    // A hash of the id; routers name upstreams by it.
    std::uint32_t key = 0;
    // The revision of the record, and when it was read.
    std::uint64_t revision = 0;
    instant readAt;
    // Requests that this router has sent there and that have not ended.
    int inFlight = 0;
    // Prompt tokens of those that have no event yet, as far as they have to be read.
    double uncachedPromptTokens = 0;
    // Those whose stream has begun.
    int streams = 0;
    prompt_memory memory;
    // Requests that were lost there of late, by fingerprint. They are suspect if the upstream turns out to be down.
    std::vector<std::pair<std::uint64_t, instant>> lost;
    // Sends in a row that failed without an answer.
    int failuresInRow = 0;
    // No new work before then, unless all are avoided.
    instant avoidedUntil;
    // Another upstream answered at this address; the record is out of date.
    bool misdirected = false;
    // The record lapsed during an outage of the store; it is dropped then, unless it comes back.
    std::optional<instant> lapsesAt;

    bool acceptsWork() const { return !record.leaving && !misdirected; }
};

using shared_upstream = std::shared_ptr<upstream_state>;

// What a change of the table was.
enum class table_change { none,
    added,
    restarted,
    leaving,
    updated };

// The upstreams by service, as the store lists them.
class upstream_table {
public:
    table_change put(const upstream_record&, std::uint64_t revision, instant now);
    // Removes an upstream and returns it, or null.
    shared_upstream remove(const std::string& id);
    shared_upstream find(const std::string& id) const;
    shared_upstream findByKey(std::uint32_t key) const;
    // In order of their ids.
    const std::vector<shared_upstream>& ofService(const std::string& service) const;
    std::vector<shared_upstream> all() const;
    std::size_t size() const { return m_byId.size(); }

private:
    std::unordered_map<std::string, shared_upstream> m_byId;
    std::unordered_map<std::uint32_t, shared_upstream> m_byKey;
    std::unordered_map<std::string, std::vector<shared_upstream>> m_byService;
};

} // namespace kumquat::router
