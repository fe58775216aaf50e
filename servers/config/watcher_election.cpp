#include "servers/config/watcher_election.h"

#include "core/hash.h"

#include <algorithm>

namespace kumquat {

std::vector<instance> electWatchers(const std::vector<instance>& entries, const std::string& dataCentre, const std::set<std::string>& excluded, std::size_t count)
{
    std::vector<instance> candidates;
    for (const auto& entry : entries) {
        if (entry.dataCentre == dataCentre && !entry.leaving && !excluded.contains(entry.id))
            candidates.push_back(entry);
    }
    const auto score = [&](const instance& entry) { return hashBytes(entry.id, hashBytes(dataCentre)); };
    std::sort(candidates.begin(), candidates.end(), [&](const instance& left, const instance& right) { return score(left) > score(right); });
    candidates.resize(std::min(candidates.size(), count));
    return candidates;
}

} // namespace kumquat
