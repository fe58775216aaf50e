#include "servers/router/origin_replicas.h"

#include "core/hash.h"

#include <algorithm>

namespace kumquat::router {

std::vector<std::string> chooseReplicas(std::uint64_t stream, std::vector<std::string> names, std::size_t count)
{
    const auto kept = std::min(count, names.size());
    const auto ranksBefore = [stream](const std::string& left, const std::string& right) { return hashBytes(left, stream) > hashBytes(right, stream); };
    std::partial_sort(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(kept), names.end(), ranksBefore);
    names.resize(kept);
    return names;
}

} // namespace kumquat::router
