#pragma once

#include "core/clock.h"
#include "core/memory_relief.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kumquat {

// To whom the process speaks on a connection.
enum class connection_side { caller,
    upstream,
    store };

// What a connection holds.
struct connection_load {
    // Memory of requests that have not been answered and of answers that have not been sent.
    std::size_t heldBytes = 0;
    bool requestInProgress = false;
    // The caller has taken all that has come of its answer, and waits for the upstream. Nothing is due from it.
    bool awaitsUpstream = false;
    // Bytes received and sent since the connection was opened.
    std::uint64_t transferredBytes = 0;
    // Of the memory: what was received of an answer and has not been passed on. Without it the connection of an upstream or of the
    // store is not closed.
    std::size_t answerBytes = 0;
    // Of that: an event that has no end yet.
    std::size_t partialEventBytes = 0;
};

// Bounds for the process as a whole. The defaults are no bounds.
struct connection_bounds {
    std::size_t memoryBytes = std::numeric_limits<std::size_t>::max();
    // Descriptors that the process may open.
    std::size_t descriptors = std::numeric_limits<std::size_t>::max();
};

// Decides for all connections of a process which ones are accepted, which ones may be read further, and which are closed first at a
// bound (holder_rank): answers of upstreams that grow without an event's end first, callers with a request in progress last; within each
// rank the one that holds most.
class connection_budget {
public:
    explicit connection_budget(connection_bounds bounds = {})
        : m_bounds(bounds)
    {
    }

    void setBounds(const connection_bounds& bounds) { m_bounds = bounds; }
    void add(const connection_key&, connection_side, instant now);
    void remove(const connection_key&);
    // Ignores a connection that was not added.
    void update(const connection_key&, const connection_load&, instant now);

    // Whether a connection of a caller may be accepted. Upstreams, the store, peers and files keep a reserve of descriptors.
    bool mayAccept() const { return m_connections.size() < maxConnections(); }
    // How many bytes may be read next from a caller that holds so many; 0 means that it has to wait. Above the pressure, the less
    // room is left, the less a caller may hold, so that the last room goes to callers that hold nothing yet.
    std::size_t maxReadBytes(std::size_t heldBytes) const;
    bool mayRead(std::size_t heldBytes) const { return maxReadBytes(heldBytes) > 0; }
    // How many unsent bytes of an answer a connection may hold before its upstream is no longer read.
    std::size_t maxUnsentBytes() const;
    // How many bytes of an upstream's answer may be read at a time.
    std::size_t maxAnswerReadBytes() const;

    // The bound is reached, so that something has to be closed before more is received.
    bool isFull() const { return m_heldBytes >= m_bounds.memoryBytes; }
    // The side and the load of a connection that was added.
    connection_side sideOf(const connection_key& key) const { return m_connections.at(key).side; }
    const connection_load& loadOf(const connection_key& key) const { return m_connections.at(key).load; }

    // The connections to close now. `acceptWaits` says that a caller waits to be accepted.
    std::vector<connection_key> selectToClose(bool acceptWaits, instant now) const;

    // Whether answers should leave the process before they are complete.
    bool memoryIsShort() const { return m_heldBytes >= pressureBytes(); }
    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    struct tracked_connection {
        connection_side side = connection_side::caller;
        connection_load load;
        // What had been transferred when the connection last made progress.
        std::uint64_t transferredAtProgress = 0;
        instant progressAt;
    };

    // Bytes above which less is read and buffered, a share of the bound.
    std::size_t pressureBytes() const { return m_bounds.memoryBytes / 4 * 3; }
    std::size_t maxConnections() const;
    // Nothing if closing the connection releases nothing of its own. `meanInProgress` is what a caller with a request in progress holds
    // on average.
    static std::optional<holder_rank> rankOf(const tracked_connection&, std::size_t meanInProgress, instant now);
    std::size_t meanInProgress() const;

    connection_bounds m_bounds;
    std::unordered_map<connection_key, tracked_connection, connection_key_hash> m_connections;
    std::size_t m_heldBytes = 0;
};

} // namespace kumquat
