#pragma once

#include "core/clock.h"
#include "core/routing_config.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace kumquat::router {

// How long the latest requests of each route took until they had their whole answer, or ran out of time.
class completion_times {
public:
    void record(const std::string& route, duration);
    // Most of the latest requests of a route took no longer. Nothing if too few are known.
    std::optional<duration> usualTime(const std::string& route) const;
    // Forgets the routes that are not in the configuration.
    void retainRoutes(const routing_config&);

private:
    static constexpr std::size_t windowSize = 32;

    struct route_window {
        std::array<duration, windowSize> times {};
        // How many requests have been recorded; the latest ones are kept.
        std::size_t recorded = 0;
    };

    std::unordered_map<std::string, route_window> m_windows;
};

} // namespace kumquat::router
