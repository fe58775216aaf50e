#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "servers/lease/order_lease.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace kumquat {

// The lease object as it is stored; version 0 means that nobody has ever held the lease.
struct lease_read {
    result<std::uint64_t> version;
    order_lease lease;
};

enum class lease_write_outcome { written,
    conflict,
    lost };

struct lease_written {
    lease_write_outcome outcome = lease_write_outcome::lost;
    std::uint64_t version = 0;
};

struct lease_timer_due { };

using lease_event = std::variant<lease_read, lease_written, lease_timer_due>;

struct read_lease { };

// Replaces the lease object if its version is the expected one.
struct write_lease {
    std::uint64_t expectedVersion = 0;
    order_lease lease;
};

using lease_effect = std::variant<read_lease, write_lease>;

struct lease_options {
    // Differs for each incarnation of a process.
    std::string holder;
    std::chrono::milliseconds length { 10000 };
    // The holder stops this much before the end, and a successor waits this much beyond it. It covers the way of an order
    // from the decision to the engine, and the drift of monotonic clocks.
    std::chrono::milliseconds allowance { 2000 };
    std::chrono::milliseconds retryInterval { 1000 };
};

// Acquires, renews and gives up the right to give orders. No wall clock is compared between processes: the holder counts
// from before its write, a successor from when it first saw the version that it replaces.
class lease_keeper {
public:
    explicit lease_keeper(lease_options);

    // Applies an event and returns the next call of the object API, if one is due.
    std::optional<lease_effect> step(const lease_event&, instant now);
    std::optional<instant> nextDeadline() const { return m_next; }

    // Returns the fencing number under which an order may be given at this moment, or nothing.
    std::optional<std::uint64_t> fencingNumber(instant now) const;

private:
    std::optional<lease_effect> handle(const lease_read&, instant now);
    std::optional<lease_effect> handle(const lease_written&, instant now);
    std::optional<lease_effect> handle(const lease_timer_due&, instant now);
    std::optional<lease_effect> write(std::uint64_t fencingNumber, instant now);
    void hold(std::uint64_t version);
    void pause(duration span, instant now) { m_next = now + span; }

    lease_options m_options;
    std::uint64_t m_version = 0;
    order_lease m_seen;
    // When the present version was first seen.
    instant m_seenAt;
    order_lease m_written;
    instant m_writtenAt;
    std::uint64_t m_writes = 0;
    // End of the own right to give orders.
    std::optional<instant> m_heldUntil;
    std::optional<instant> m_next = instant {};
};

} // namespace kumquat
