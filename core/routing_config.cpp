#include "core/routing_config.h"

#include <algorithm>

namespace kumquat {

namespace {

    std::string routeKey(std::string_view host, std::string_view prefix)
    {
        std::string key;
        key.reserve(host.size() + prefix.size() + 1);
        key.append(host).append("\n").append(prefix);
        return key;
    }

} // namespace

void routing_config::addRoute(route newRoute)
{
    m_longestPrefix = std::max(m_longestPrefix, newRoute.pathPrefix.size());
    auto key = routeKey(newRoute.host, newRoute.pathPrefix);
    m_routes.insert_or_assign(std::move(key), std::move(newRoute));
}

const route* routing_config::match(std::string_view host, std::string_view path) const
{
    // No route begins with more of the path, which a caller may have filled with slashes.
    path = path.substr(0, m_longestPrefix);
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const auto found = m_routes.find(routeKey(host, path.substr(0, end + 1)));
        if (found != m_routes.end())
            return &found->second;
        if (end == 0)
            break;
    }
    return nullptr;
}

} // namespace kumquat
