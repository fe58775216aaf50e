#include "servers/router/router_census.h"

namespace kumquat::router {

namespace {

    // How long a router counts after it was last in touch.
    constexpr auto departureRetention = std::chrono::seconds(20);
    // A router that has just started has heard all others after this time, and they have heard it.
    constexpr auto settlingTime = std::chrono::seconds(3);

} // namespace

void router_census::setSelf(const std::string& instance, const std::string& dataCentre, bool expectsOthers)
{
    m_expectsOthers = expectsOthers;
    m_instance = instance;
    m_dataCentre = dataCentre;
    ++m_version;
}

void router_census::update(const std::vector<std::string>& neighbours, const std::map<std::string, int>& otherDataCentres, instant now)
{
    const auto previousNeighbours = m_neighbours.size();
    const auto previousInTouch = m_neighboursInTouch;
    const auto previousDataCentres = this->otherDataCentres();
    bool isNew = false;
    for (const auto& name : neighbours)
        isNew |= m_neighbours.insert_or_assign(name, now).second;
    std::erase_if(m_neighbours, [now](const auto& item) { return now - item.second >= departureRetention; });
    m_neighboursInTouch = static_cast<int>(neighbours.size());
    for (const auto& [name, routers] : otherDataCentres) {
        auto& counted = m_dataCentres[name];
        if (routers >= counted.routers || now - counted.reportedAt >= departureRetention)
            counted = { routers, now };
    }
    std::erase_if(m_dataCentres, [now](const auto& item) { return now - item.second.reportedAt >= departureRetention; });
    if (isNew || m_neighbours.size() != previousNeighbours || m_neighboursInTouch != previousInTouch || this->otherDataCentres() != previousDataCentres)
        ++m_version;
}

void router_census::remove(const std::string& neighbour)
{
    if (m_neighbours.erase(neighbour) != 0)
        ++m_version;
}

void router_census::unsettle(instant now)
{
    m_settledAt = now + settlingTime;
}

std::vector<std::string> router_census::neighbours() const
{
    std::vector<std::string> names;
    names.reserve(m_neighbours.size());
    for (const auto& [name, lastInTouch] : m_neighbours)
        names.push_back(name);
    return names;
}

std::map<std::string, int> router_census::otherDataCentres() const
{
    std::map<std::string, int> counts;
    for (const auto& [name, counted] : m_dataCentres)
        counts.emplace(name, counted.routers);
    return counts;
}

int router_census::count() const
{
    if (isIsolated())
        return assumedCount;
    int routers = static_cast<int>(m_neighbours.size()) + 1;
    for (const auto& [name, counted] : m_dataCentres)
        routers += counted.routers;
    return routers;
}

} // namespace kumquat::router
