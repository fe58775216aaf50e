#include "servers/entry/upstream_subset.h"

#include "core/hash.h"

#include <algorithm>
#include <map>

namespace kumquat {

namespace {

    // One member in this many is taken from other data centres, so that the entry still has upstreams when its own data centre
    // fails.
    constexpr std::size_t membersPerRemote = 4;

    using members = std::vector<const instance*>;

    std::size_t subsetSize(std::size_t memberCount, std::size_t serviceCount, const subset_request& request)
    {
        const auto& options = request.options;
        const auto entries = std::max<std::size_t>(1, request.entryCount);
        const auto share = options.linkLimit / serviceCount;
        const auto covering = (memberCount * options.minEntriesPerSidecar + entries - 1) / entries;
        return std::min(memberCount, std::max({ options.minSubsetSize, share, covering }));
    }

    // Sorts the members by their hash with the entry's seed, largest first.
    void sortByHash(members& list, std::uint64_t seed)
    {
        std::sort(list.begin(), list.end(), [&](const auto* left, const auto* right) {
            return std::pair(hashBytes(left->id, seed), left->id) > std::pair(hashBytes(right->id, seed), right->id);
        });
    }

    // Merges the lists by taking one member of each data centre in turn, in the order of its list.
    members interleave(std::map<std::string, members> byDataCentre)
    {
        members result;
        for (std::size_t round = 0; !byDataCentre.empty(); ++round) {
            for (const auto& [name, list] : byDataCentre)
                result.push_back(list[round]);
            std::erase_if(byDataCentre, [&](const auto& item) { return item.second.size() == round + 1; });
        }
        return result;
    }

    members selectMembers(const members& all, std::size_t size, const subset_request& request)
    {
        if (size >= all.size())
            return all;
        const auto seed = hashBytes(request.entryId);
        members own;
        std::map<std::string, members> remoteByDataCentre;
        for (const auto* member : all) {
            auto& list = member->dataCentre == request.dataCentre ? own : remoteByDataCentre[member->dataCentre];
            list.push_back(member);
        }
        sortByHash(own, seed);
        for (auto& [name, list] : remoteByDataCentre)
            sortByHash(list, seed);
        const auto remote = interleave(std::move(remoteByDataCentre));
        const auto remoteCount = std::min(remote.size(), std::max<std::size_t>(1, size / membersPerRemote));
        const auto ownCount = std::min(own.size(), size - remoteCount);
        members result(own.begin(), own.begin() + static_cast<std::ptrdiff_t>(ownCount));
        result.insert(result.end(), remote.begin(), remote.begin() + static_cast<std::ptrdiff_t>(size - ownCount));
        return result;
    }

} // namespace

std::vector<instance> chooseSubset(const std::vector<instance>& instances, const subset_request& request)
{
    std::map<std::string, members> byService;
    for (const auto& item : instances) {
        if (item.role == "sidecar" && !item.leaving && !request.notReporting.contains(item.id))
            byService[item.service].push_back(&item);
    }
    std::vector<instance> result;
    for (const auto& [service, all] : byService) {
        for (const auto* member : selectMembers(all, subsetSize(all.size(), byService.size(), request), request))
            result.push_back(*member);
    }
    return result;
}

} // namespace kumquat
