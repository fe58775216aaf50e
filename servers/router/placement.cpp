#include "servers/router/placement.h"

#include "core/hash.h"
#include "core/overloaded.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    // Returns the eligible upstreams that are not in back-off, or all eligible ones if each of them is.
    std::vector<shared_upstream> candidatesOf(const placement_request& asked)
    {
        std::vector<shared_upstream> usable;
        std::vector<shared_upstream> healthy;
        for (const auto& item : asked.upstreams) {
            if (!item->acceptsWork() || std::find(asked.excluded.begin(), asked.excluded.end(), item->record.id) != asked.excluded.end())
                continue;
            usable.push_back(item);
            if (item->avoidedUntil <= asked.now)
                healthy.push_back(item);
        }
        return healthy.empty() ? usable : healthy;
    }

    double loadPerSlot(const upstream_state& item, const peer_group& peers)
    {
        return static_cast<double>(item.inFlight + peers.loadOf(item.key).inFlight) / std::max(1, item.record.slots);
    }

    shared_upstream leastLoaded(const std::vector<shared_upstream>& candidates, const placement_request& asked)
    {
        // The hash of the request breaks ties, so that routers do not all choose the same one of equal upstreams.
        const auto turn = hashBytes(asked.request.requestId);
        const auto better = [&](const shared_upstream& left, const shared_upstream& right) {
            const double leftLoad = loadPerSlot(*left, asked.peers);
            const double rightLoad = loadPerSlot(*right, asked.peers);
            if (leftLoad != rightLoad)
                return leftLoad < rightLoad;
            const bool leftNear = left->record.dataCentre == asked.dataCentre;
            const bool rightNear = right->record.dataCentre == asked.dataCentre;
            if (leftNear != rightNear)
                return leftNear;
            return hashBytes(left->record.id, turn) < hashBytes(right->record.id, turn);
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

    placement choose(const least_in_flight&, const std::vector<shared_upstream>& candidates, const placement_request& asked)
    {
        return { leastLoaded(candidates, asked), candidates.size(), "least_in_flight" };
    }

    // A candidate with the load that all routers together have there.
    struct weighed_upstream {
        shared_upstream upstream;
        // The rendezvous hash of prompt and upstream, equal on all routers. The candidate with the highest has the highest
        // prefix affinity.
        std::uint64_t preference = 0;
        double backlog = 0;
        double streams = 0;
    };

    std::vector<weighed_upstream> weighInOrder(const std::vector<shared_upstream>& candidates, const peer_group& peers, std::uint64_t key)
    {
        std::vector<weighed_upstream> weighed;
        weighed.reserve(candidates.size());
        for (const auto& item : candidates) {
            const auto others = peers.loadOf(item->key);
            weighed.push_back({ item, hashBytes(item->record.id, key), item->uncachedPromptTokens + others.uncachedPromptTokens, static_cast<double>(item->streams + others.streams) });
        }
        std::sort(weighed.begin(), weighed.end(), [](const auto& left, const auto& right) { return left.preference > right.preference; });
        return weighed;
    }

    placement choose(const least_reading& policy, const std::vector<shared_upstream>& candidates, const placement_request& asked)
    {
        const auto& prompt = asked.request.prompt;
        if (prompt.parts.empty())
            return choose(least_in_flight {}, candidates, asked);
        const auto weighed = weighInOrder(candidates, asked.peers, affinityKey(prompt));
        double total = 0;
        for (const auto& item : weighed)
            total += item.backlog;
        // If all upstreams have a long backlog, avoiding one of them only adds the prefill of this prompt in another place.
        const double scale = std::max(1.0, total / static_cast<double>(weighed.size()) / policy.evenBacklogTokens);
        placement best;
        best.candidates = candidates.size();
        best.reason = "least_reading";
        double bestCost = 0;
        int position = 0;
        for (const auto& item : weighed) {
            double reading = item.upstream->memory.uncachedPromptTokens(prompt);
            if (position == 0)
                reading = std::min(reading, prompt.inputTokens * policy.preferredShare);
            const double cost = item.backlog / scale + policy.readingWeight * reading + policy.streamTokens * item.streams
                + policy.positionShare * position * prompt.inputTokens;
            ++position;
            if (best.upstream && cost >= bestCost)
                continue;
            best.upstream = item.upstream;
            best.uncachedPromptTokens = reading;
            bestCost = cost;
        }
        return best;
    }

} // namespace

placement place(const placement_policy& policy, const placement_request& asked)
{
    const auto candidates = candidatesOf(asked);
    if (candidates.empty())
        return {};
    return std::visit([&](const auto& chosen) { return choose(chosen, candidates, asked); }, policy);
}

} // namespace kumquat::router
