#include "servers/router/completion_times.h"

#include <algorithm>
#include <unordered_set>

namespace kumquat::router {

namespace {

    // Of the latest requests, this share took no longer than the usual time. A request that is cut off costs its caller several times
    // what the way to another router costs.
    constexpr double usualShare = 0.8;
    constexpr std::size_t minRecorded = 8;

} // namespace

void completion_times::record(const std::string& route, duration time)
{
    auto& window = m_windows[route];
    window.times[window.recorded % windowSize] = time;
    ++window.recorded;
}

std::optional<duration> completion_times::usualTime(const std::string& route) const
{
    const auto found = m_windows.find(route);
    if (found == m_windows.end() || found->second.recorded < minRecorded)
        return std::nullopt;
    auto times = found->second.times;
    const auto count = std::min(found->second.recorded, windowSize);
    const auto rank = static_cast<std::ptrdiff_t>(static_cast<double>(count - 1) * usualShare);
    std::nth_element(times.begin(), times.begin() + rank, times.begin() + static_cast<std::ptrdiff_t>(count));
    return times[static_cast<std::size_t>(rank)];
}

void completion_times::retainRoutes(const routing_config& config)
{
    std::unordered_set<std::string> names;
    for (const auto& [prefix, item] : config.routes())
        names.insert(item.name);
    std::erase_if(m_windows, [&names](const auto& item) { return !names.contains(item.first); });
}

} // namespace kumquat::router
