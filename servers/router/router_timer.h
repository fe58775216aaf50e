#pragma once

#include <cstdint>
#include <utility>

namespace kumquat::router {

// What the router does when a timer is due.
enum class timer_kind { deadline,
    hedge,
    origin_lookup,
    resumption,
    upstream_reads,
    config_reads,
    first_read,
    read_timeout,
    refusal_call,
    connection_check,
    record_expiry,
    digest,
    summary,
    close_idle,
    last_answers,
    break_streams,
    stop };

// The kind of a timer, and the caller, the call or the upstream to which it belongs.
using timer_key = std::pair<timer_kind, std::uint64_t>;

} // namespace kumquat::router
