#include "servers/router/version_history.h"

#include <algorithm>

namespace kumquat::router {

bool version_history::record(const std::string& service, const std::set<std::uint64_t>& versions, instant now)
{
    // A service without upstreams begins no streams, so it keeps the versions that it had.
    if (versions.empty())
        return false;
    const auto [known, isNew] = m_services.try_emplace(service, service_versions { versions, now });
    if (isNew || known->second.versions == versions)
        return false;
    known->second = { versions, now };
    return true;
}

void version_history::restart(instant now)
{
    for (auto& [service, known] : m_services)
        known.since = now;
}

void version_history::adopt(std::uint64_t version, instant since)
{
    for (auto& [service, known] : m_services) {
        if (known.versions.size() == 1 && known.versions.contains(version))
            known.since = std::min(known.since, since);
    }
}

std::vector<std::pair<std::uint64_t, instant>> version_history::soleVersions() const
{
    std::vector<std::pair<std::uint64_t, instant>> sole;
    for (const auto& [service, known] : m_services) {
        if (known.versions.size() == 1)
            sole.emplace_back(*known.versions.begin(), known.since);
    }
    return sole;
}

std::optional<std::uint64_t> version_history::onlyVersion(const std::string& service, duration time, instant now) const
{
    const auto known = m_services.find(service);
    if (known == m_services.end() || known->second.versions.size() != 1 || now - known->second.since < time)
        return std::nullopt;
    return *known->second.versions.begin();
}

} // namespace kumquat::router
