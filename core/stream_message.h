#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace kumquat {

// At which software version of a service a stream began. Callers may resume the stream at another router, which has to go on at that
// version.
struct stream_origin {
    // Hash of the route, the organisation and the id of the request that brought the first event.
    std::uint64_t stream = 0;
    // Hash of the service and the software version, or uncertainOrigin.
    std::uint64_t version = 0;
    // How long callers may still resume the stream.
    std::chrono::milliseconds timeLeft {};

    bool operator==(const stream_origin&) const = default;
};

// The version of a stream whose upstream has turned out to be another process than the router believed.
constexpr std::uint64_t uncertainOrigin = 0;

// Keep an origin for other routers.
struct save_origin {
    stream_origin origin;
    // The receiver passes it on to the routers of its data centre that keep it.
    bool isForwarded = false;

    bool operator==(const save_origin&) const = default;
};

// Ask for the origin of a stream.
struct origin_query {
    // Identifies the query in its answers.
    std::uint64_t query = 0;
    std::uint64_t stream = 0;
    // The service of the stream's route.
    std::string service;
    // The address to answer to, or empty for the sender's own.
    std::string replyTo;
    // As in save_origin.
    bool isForwarded = false;

    bool operator==(const origin_query&) const = default;
};

struct origin_answer {
    std::uint64_t query = 0;
    // The version at which the stream began, or nothing if the sender doesn't know it.
    std::optional<std::uint64_t> version;
    // Set if the service has had this version alone for longer than any stream lives, as far as the sender knows.
    std::optional<std::uint64_t> onlyVersion;

    bool operator==(const origin_answer&) const = default;
};

// A living upstream has dropped an idle connection of the sender without notice; others may do so too.
struct dropped_connection {
    bool operator==(const dropped_connection&) const = default;
};

// What routers tell and ask each other at once, about single streams and dropped connections. A message that is lost is not sent again.
using stream_message = std::variant<save_origin, origin_query, origin_answer, dropped_connection>;

} // namespace kumquat
