#include "servers/usage/usage_collector.h"

#include <algorithm>
#include <limits>

namespace kumquat::usage {

namespace {

    // Bounds the memory: at the design size the 5,200 requests a second give at most 26,000 counts for each window of 5 s, and six windows
    // are kept.
    constexpr std::size_t maxCounts = 400'000;
    constexpr std::size_t maxOrganisationsPerWindow = 10'000;
    constexpr std::size_t maxIncarnationsPerWindow = 2'000;

} // namespace

void usage_collector::keepWindows(std::uint64_t first, std::uint64_t last)
{
    m_firstWindow = first;
    m_lastWindow = last;
    std::erase_if(m_windows, [this](const auto& item) {
        const bool isKept = item.first >= m_firstWindow && item.first <= m_lastWindow;
        for (const auto& [incarnation, counts] : item.second.routers)
            m_size -= isKept ? 0 : counts.size();
        return !isKept;
    });
}

std::size_t usage_collector::receive(const usage_counts& message)
{
    return static_cast<std::size_t>(std::count_if(message.counts.begin(), message.counts.end(), [&](const usage_count& count) {
        return count.window < m_firstWindow || count.window > m_lastWindow || !merge(m_windows[count.window], message.incarnation, count);
    }));
}

bool usage_collector::merge(window_counts& window, std::uint64_t incarnation, const usage_count& count)
{
    const bool isKnownName = window.organisations.contains(count.organisation);
    const bool isKnownRouter = window.routers.contains(incarnation);
    if (m_size >= maxCounts || (!isKnownName && window.organisations.size() >= maxOrganisationsPerWindow) || (!isKnownRouter && window.routers.size() >= maxIncarnationsPerWindow))
        return false;
    const auto organisation = window.organisations.emplace(count.organisation, static_cast<std::uint32_t>(window.organisations.size())).first->second;
    const auto runs = static_cast<std::uint32_t>(std::min<std::uint64_t>(count.runs, std::numeric_limits<std::uint32_t>::max()));
    auto& counts = window.routers[incarnation];
    const auto position = std::lower_bound(counts.begin(), counts.end(), organisation, [](const organisation_count& item, std::uint32_t number) { return item.organisation < number; });
    if (position != counts.end() && position->organisation == organisation) {
        position->runs = std::max(position->runs, runs);
        return true;
    }
    counts.insert(position, { organisation, runs });
    ++m_size;
    return true;
}

usage_counter usage_collector::countsBy(std::uint64_t incarnation, std::uint64_t firstWindow) const
{
    usage_counter result;
    for (auto window = m_windows.lower_bound(firstWindow); window != m_windows.end(); ++window) {
        const auto found = window->second.routers.find(incarnation);
        if (found == window->second.routers.end())
            continue;
        std::vector<const std::string*> names(window->second.organisations.size());
        for (const auto& [name, number] : window->second.organisations)
            names[number] = &name;
        for (const auto& count : found->second)
            result.set(window->first, *names[count.organisation], count.runs);
    }
    return result;
}

organisation_runs usage_collector::countsOf(std::uint64_t window) const
{
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return {};
    std::vector<std::uint64_t> sums(found->second.organisations.size());
    for (const auto& [incarnation, counts] : found->second.routers) {
        for (const auto& count : counts)
            sums[count.organisation] += count.runs;
    }
    organisation_runs result;
    for (const auto& [name, number] : found->second.organisations)
        result.emplace(name, sums[number]);
    return result;
}

} // namespace kumquat::usage
