#include "servers/router/placement.h"

#include "core/hash.h"
#include "core/overloaded.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_set>

namespace kumquat::router {

namespace {

    // Returns the eligible upstreams that are not in back-off, or all eligible ones if each of them is.
    std::vector<shared_upstream> findCandidates(const placement_request& request)
    {
        std::vector<shared_upstream> eligible;
        std::vector<shared_upstream> healthy;
        for (const auto& item : request.upstreams) {
            if (request.isAdditional && item->quota)
                continue;
            if (request.version && item->versionKey != *request.version)
                continue;
            if (!item->acceptsRequests(request.now) || std::find(request.excluded.begin(), request.excluded.end(), item->record.id) != request.excluded.end())
                continue;
            eligible.push_back(item);
            if (item->backoffUntil <= request.now)
                healthy.push_back(item);
        }
        return healthy.empty() ? eligible : healthy;
    }

    // The engines that are reserved for gap-sensitive streams: in each data centre the share with the lowest keys, so that all routers
    // reserve the same ones. An engine that accepts no requests keeps its place.
    std::unordered_set<std::uint32_t> reservedEngines(const std::vector<shared_upstream>& upstreams, double share)
    {
        std::map<std::string_view, std::vector<std::uint32_t>> keysByDataCentre;
        for (const auto& item : upstreams) {
            if (item->inService())
                keysByDataCentre[item->record.dataCentre].push_back(item->key);
        }
        std::unordered_set<std::uint32_t> reserved;
        for (auto& [name, keys] : keysByDataCentre) {
            const auto count = static_cast<std::ptrdiff_t>(std::lround(share * static_cast<double>(keys.size())));
            std::nth_element(keys.begin(), keys.begin() + count, keys.end());
            reserved.insert(keys.begin(), keys.begin() + count);
        }
        return reserved;
    }

    double loadPerSlot(const upstream_state& item, const peer_group& peers)
    {
        return static_cast<double>(item.inFlight + peers.loadOf(item.key).inFlight) / std::max(1, item.record.slots);
    }

    // Leaves the engines that are meant for the request, or all if none of them is a candidate. Sensitive streams go everywhere when their
    // engines are nearly full, so that the division never turns an urgent request away.
    std::vector<shared_upstream> keepApart(const least_prefill& policy, const std::vector<shared_upstream>& candidates, const placement_request& request)
    {
        if (!request.reservedShare)
            return candidates;
        const auto reserved = reservedEngines(request.upstreams, *request.reservedShare);
        std::vector<shared_upstream> intended;
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(intended), [&](const shared_upstream& item) { return reserved.contains(item->key) == request.isGapSensitive; });
        const auto isFull = [&](const shared_upstream& item) { return loadPerSlot(*item, request.peers) >= policy.fullEngineShare; };
        const bool allFull = request.isGapSensitive && std::all_of(intended.begin(), intended.end(), isFull);
        return intended.empty() || allFull ? candidates : intended;
    }

    shared_upstream leastLoaded(const std::vector<shared_upstream>& candidates, const placement_request& request)
    {
        // The hash of the request breaks ties, so that routers do not all choose the same one of equal upstreams.
        const auto tieBreaker = hashBytes(request.callerRequest.requestId);
        const auto better = [&](const shared_upstream& left, const shared_upstream& right) {
            const double leftLoad = loadPerSlot(*left, request.peers);
            const double rightLoad = loadPerSlot(*right, request.peers);
            if (leftLoad != rightLoad)
                return leftLoad < rightLoad;
            const bool leftIsLocal = left->record.dataCentre == request.dataCentre;
            const bool rightIsLocal = right->record.dataCentre == request.dataCentre;
            if (leftIsLocal != rightIsLocal)
                return leftIsLocal;
            return hashBytes(left->record.id, tieBreaker) < hashBytes(right->record.id, tieBreaker);
        };
        return *std::min_element(candidates.begin(), candidates.end(), better);
    }

    // The id of the longest prefix that several requests may share. The last part belongs to one request, so this is the
    // part before it.
    std::uint64_t affinityKey(const prompt_description& prompt)
    {
        if (prompt.parts.size() < 2)
            return prompt.parts.empty() ? 0 : prompt.parts.front().id;
        return prompt.parts[prompt.parts.size() - 2].id;
    }

    placement choose(const least_in_flight&, const std::vector<shared_upstream>& candidates, const placement_request& request)
    {
        return { leastLoaded(candidates, request), candidates.size(), "least_in_flight" };
    }

    // A candidate with the load that all routers together have there.
    struct ranked_candidate {
        shared_upstream upstream;
        // The rendezvous hash of prompt and upstream, equal on all routers. The candidate with the highest has the highest
        // prefix affinity.
        std::uint64_t rendezvousHash = 0;
        double backlogTokens = 0;
        double streams = 0;
    };

    std::vector<ranked_candidate> rankByAffinity(const std::vector<shared_upstream>& candidates, const peer_group& peers, std::uint64_t key)
    {
        std::vector<ranked_candidate> ranked;
        ranked.reserve(candidates.size());
        for (const auto& item : candidates) {
            const auto others = peers.loadOf(item->key);
            ranked.push_back({ item, hashBytes(item->record.id, key), item->uncachedPromptTokens + others.uncachedPromptTokens, static_cast<double>(item->streams + others.streams) });
        }
        std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) { return left.rendezvousHash > right.rendezvousHash; });
        return ranked;
    }

    placement choose(const least_prefill& policy, const std::vector<shared_upstream>& allCandidates, const placement_request& request)
    {
        const auto& prompt = request.callerRequest.prompt;
        if (prompt.parts.empty())
            return choose(least_in_flight {}, allCandidates, request);
        const auto candidates = keepApart(policy, allCandidates, request);
        const bool prefersLocal = request.reservedShare && request.isGapSensitive;
        const auto ranked = rankByAffinity(candidates, request.peers, affinityKey(prompt));
        double totalBacklog = 0;
        for (const auto& item : ranked)
            totalBacklog += item.backlogTokens;
        // If all upstreams have a long backlog, moving a prompt away from the upstream that has it cached saves little waiting
        // and costs a second prefill elsewhere, so differences in backlog are scaled down.
        const double backlogScale = std::max(1.0, totalBacklog / static_cast<double>(ranked.size()) / policy.saturatedBacklogTokens);
        placement best;
        best.candidates = candidates.size();
        best.reason = "least_reading";
        double bestCost = 0;
        int affinityPosition = 0;
        for (const auto& item : ranked) {
            double uncachedTokens = item.upstream->promptCache.uncachedPromptTokens(prompt);
            if (affinityPosition == 0)
                uncachedTokens = std::min(uncachedTokens, prompt.inputTokens * policy.affinityUncachedShare);
            const double remoteCost = prefersLocal && item.upstream->record.dataCentre != request.dataCentre ? policy.remoteStreamCostTokens : 0;
            const double cost = remoteCost + item.backlogTokens / backlogScale + policy.prefillWeight * uncachedTokens + policy.streamCostTokens * item.streams
                + policy.affinityPositionShare * affinityPosition * prompt.inputTokens;
            ++affinityPosition;
            if (best.upstream && cost >= bestCost)
                continue;
            best.upstream = item.upstream;
            best.uncachedPromptTokens = uncachedTokens;
            bestCost = cost;
        }
        return best;
    }

} // namespace

placement place(const placement_policy& policy, const placement_request& request)
{
    const auto candidates = findCandidates(request);
    if (candidates.empty())
        return {};
    return std::visit([&](const auto& selectedPolicy) { return choose(selectedPolicy, candidates, request); }, policy);
}

} // namespace kumquat::router
