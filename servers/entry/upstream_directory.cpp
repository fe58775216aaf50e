#include "servers/entry/upstream_directory.h"

#include <algorithm>

namespace kumquat {

namespace {

    // Shortest time between two comparisons of the upstreams of a large service.
    constexpr std::chrono::milliseconds compareInterval { 200 };

} // namespace

upstream_directory::upstream_directory(std::chrono::milliseconds reportTimeout)
    : m_reportTimeout(reportTimeout)
{
}

void upstream_directory::applyList(const std::vector<instance>& instances, instant now)
{
    std::set<std::string> listed;
    for (const auto& item : instances) {
        if (item.role != "sidecar")
            continue;
        listed.insert(item.id);
        const auto [position, isNew] = m_upstreams.try_emplace(item.id);
        auto& upstream = position->second;
        if (isNew)
            upstream.firstListedAt = now;
        upstream.id = item.id;
        upstream.address = item.address;
        upstream.service = item.service;
        upstream.dataCentre = item.dataCentre;
        upstream.listedLeaving = item.leaving;
    }
    // An upstream that is no longer listed is removed only after this entry's requests there have ended.
    std::erase_if(m_upstreams, [&](const auto& item) { return !listed.contains(item.first) && item.second.ownInFlight == 0; });
    m_byService.clear();
    for (auto& [id, upstream] : m_upstreams) {
        if (!listed.contains(id))
            upstream.listedLeaving = true;
        m_byService[upstream.service].push_back(&upstream);
    }
}

bool upstream_directory::applyReport(const report& message, instant now)
{
    auto* upstream = find(message.from.id);
    if (!upstream)
        return false;
    if (upstream->lastReport && upstream->lastReport->from.incarnation != message.from.incarnation)
        upstream->prefixCache.clear();
    upstream->lastReport = message;
    upstream->reportedAt = now;
    upstream->unresponsive = false;
    upstream->unreportedLoad.clear();
    upstream->speed.observeRate(message.tokensPerSecond, now);
    compareWithPeers(upstream->service, now);
    return true;
}

void upstream_directory::compareWithPeers(const std::string& service, instant now)
{
    const auto& members = m_byService[service];
    // A comparison visits all upstreams. At every report of a large service it would cost the square of their number.
    auto& comparedAt = m_comparedAt[service];
    if (members.size() > windowSize && comparedAt + compareInterval > now)
        return;
    comparedAt = now;
    std::vector<upstream_speed*> speeds;
    std::vector<double> rates;
    for (auto* member : members) {
        speeds.push_back(&member->speed);
        if (const auto rate = member->speed.rate())
            rates.push_back(*rate);
    }
    compareSpeeds(speeds, now);
    if (rates.empty())
        return;
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    for (auto* member : members)
        member->medianServiceRate = *middle;
}

upstream_state* upstream_directory::find(const std::string& id)
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

std::set<std::string> upstream_directory::findNotReporting(instant now) const
{
    std::set<std::string> result;
    for (const auto& [id, upstream] : m_upstreams) {
        const auto lastSeen = upstream.lastReport ? upstream.reportedAt : upstream.firstListedAt;
        if (lastSeen + m_reportTimeout <= now)
            result.insert(id);
    }
    return result;
}

bool upstream_directory::isUsable(const upstream_state& upstream, instant now) const
{
    if (upstream.listedLeaving || !upstream.lastReport)
        return false;
    if (upstream.lastReport->leaving || !upstream.lastReport->healthy)
        return false;
    return upstream.reportedAt + m_reportTimeout > now;
}

std::vector<upstream_state*> upstream_directory::usable(const std::string& service, instant now)
{
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? std::vector<upstream_state*>() : collectUsable(found->second, 0, found->second.size(), now);
}

std::vector<upstream_state*> upstream_directory::usableWindow(const std::string& service, std::uint64_t start, instant now)
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return {};
    const auto& members = found->second;
    if (members.size() <= windowSize)
        return collectUsable(members, 0, members.size(), now);
    return collectUsable(members, start % members.size(), windowSize, now);
}

std::vector<upstream_state*> upstream_directory::collectUsable(const std::vector<upstream_state*>& members, std::size_t start, std::size_t count, instant now) const
{
    std::vector<upstream_state*> result;
    std::vector<upstream_state*> unresponsive;
    for (std::size_t offset = 0; offset < count; ++offset) {
        auto* upstream = members[(start + offset) % members.size()];
        if (isUsable(*upstream, now))
            (upstream->unresponsive ? unresponsive : result).push_back(upstream);
    }
    return result.empty() ? unresponsive : result;
}

} // namespace kumquat
