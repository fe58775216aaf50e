#include "servers/entry/upstream_selector.h"

#include "core/hash.h"
#include "servers/entry/expected_wait.h"

#include <algorithm>
#include <limits>

namespace kumquat {

namespace {

    // Time to prefill one prompt block that the engine has not cached; see prefixBlockBytes in the completion codec.
    constexpr double secondsPerPrefixBlock = 0.03;

    // Returns the requests per slot: those of the same or a higher tier in the last report, and those of any tier that this
    // entry has sent since.
    double requestsPerSlot(const upstream_state& upstream, std::uint32_t tierRank)
    {
        std::uint32_t requestsAhead = 0;
        for (const auto& [rank, sent] : upstream.unreportedLoad)
            requestsAhead += sent.requests;
        for (const auto& load : upstream.lastReport->tiers) {
            if (load.rank <= tierRank)
                requestsAhead += load.running + load.queued;
        }
        return static_cast<double>(requestsAhead) / std::max(1U, upstream.lastReport->slots);
    }

    // Ranks an upstream for a request that another one has refused; smaller is better. 0: it has queued work of a lower tier to
    // displace; 1: a free slot; 2: running work of a lower tier to preempt; 3: none of these.
    int displacementRank(const upstream_load& load)
    {
        if (load.lowerTierQueued > 0)
            return 0;
        if (load.hasFreeSlot())
            return 1;
        return load.lowerTierRunning > 0 ? 2 : 3;
    }

    upstream_state* selectForDisplacement(const std::vector<upstream_state*>& candidates, const selection_request& request, instant now)
    {
        upstream_state* best = nullptr;
        std::pair<int, double> bestKey;
        for (auto* candidate : candidates) {
            const auto load = estimateLoad(*candidate, request.tierRank, now);
            const std::pair key { displacementRank(load), expectedSeconds(load, request.expectedTokens) };
            if (best && key >= bestKey)
                continue;
            best = candidate;
            bestKey = key;
        }
        return best;
    }

    upstream_state* longestPrefixMatch(const std::vector<upstream_state*>& candidates, const selection_request& request)
    {
        if (!request.prefixHashes || request.prefixHashes->empty())
            return nullptr;
        upstream_state* best = nullptr;
        std::size_t longest = 0;
        for (auto* candidate : candidates) {
            const auto length = candidate->prefixCache.matchLength(*request.prefixHashes);
            if (length <= longest)
                continue;
            best = candidate;
            longest = length;
        }
        return best;
    }

} // namespace

upstream_selector::upstream_selector(routing_policy policy, std::string dataCentre, std::uint64_t seed)
    : m_policy(policy)
    , m_dataCentre(std::move(dataCentre))
    , m_random(seed)
{
}

upstream_state* upstream_selector::selectByFingerprint(const std::vector<upstream_state*>& candidates, std::uint64_t fingerprint, const std::set<std::string>& triedUpstreams)
{
    upstream_state* best = nullptr;
    std::uint64_t bestWeight = 0;
    for (auto* candidate : candidates) {
        const auto weight = hashBytes(candidate->id, fingerprint);
        if (triedUpstreams.contains(candidate->id) || (best && weight <= bestWeight))
            continue;
        best = candidate;
        bestWeight = weight;
    }
    return best;
}

upstream_state* upstream_selector::select(const std::vector<upstream_state*>& candidates, const selection_request& request, instant now)
{
    std::vector<upstream_state*> untried;
    for (auto* candidate : candidates) {
        if (!request.triedUpstreams || !request.triedUpstreams->contains(candidate->id))
            untried.push_back(candidate);
    }
    if (untried.empty())
        return nullptr;
    return std::visit([&](const auto& policy) { return selectBy(policy, untried, request, now); }, m_policy);
}

upstream_state* upstream_selector::selectBy(const round_robin_routing&, const candidates& untried, const selection_request& request, instant)
{
    auto& lastSelectedId = m_lastSelected[request.service];
    upstream_state* first = nullptr;
    upstream_state* next = nullptr;
    for (auto* candidate : untried) {
        if (!first || candidate->id < first->id)
            first = candidate;
        if (candidate->id > lastSelectedId && (!next || candidate->id < next->id))
            next = candidate;
    }
    auto* selected = next ? next : first;
    lastSelectedId = selected->id;
    return selected;
}

upstream_state* upstream_selector::selectBy(const least_loaded_routing&, const candidates& untried, const selection_request& request, instant)
{
    return *std::min_element(untried.begin(), untried.end(), [&](const auto* left, const auto* right) {
        return requestsPerSlot(*left, request.tierRank) < requestsPerSlot(*right, request.tierRank);
    });
}

upstream_state* upstream_selector::selectBy(const expected_wait_routing& policy, const candidates& untried, const selection_request& request, instant now)
{
    if (request.refusedForLoad)
        return selectForDisplacement(untried, request, now);
    candidates withFreeSlot;
    for (auto* candidate : untried) {
        if (estimateLoad(*candidate, request.tierRank, now).hasFreeSlot())
            withFreeSlot.push_back(candidate);
    }
    // The first sample is taken from the upstreams with a free slot. The others are taken from all, so that a straggler that is
    // the only one with a free slot is compared with the rest.
    candidates sampled { sample(withFreeSlot.empty() ? untried : withFreeSlot) };
    while (sampled.size() < policy.choices)
        sampled.push_back(sample(untried));
    if (auto* cached = longestPrefixMatch(untried, request))
        sampled.push_back(cached);
    upstream_state* best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (auto* candidate : sampled) {
        const double cost = expectedCostSeconds(policy, *candidate, request, now);
        if (cost >= bestCost)
            continue;
        best = candidate;
        bestCost = cost;
    }
    return best;
}

double upstream_selector::expectedCostSeconds(const expected_wait_routing& policy, const upstream_state& candidate, const selection_request& request, instant now) const
{
    double cost = expectedSeconds(estimateLoad(candidate, request.tierRank, now), request.expectedTokens);
    if (candidate.dataCentre != m_dataCentre)
        cost += std::chrono::duration<double>(policy.remotePenalty).count();
    if (!request.prefixHashes)
        return cost;
    const double savedSeconds = secondsPerPrefixBlock * static_cast<double>(candidate.prefixCache.matchLength(*request.prefixHashes));
    return cost - std::min(savedSeconds, std::chrono::duration<double>(policy.maxPrefixBonus).count());
}

upstream_state* upstream_selector::sample(const candidates& pool)
{
    std::uniform_int_distribution<std::size_t> distribution(0, pool.size() - 1);
    return pool[distribution(m_random)];
}

} // namespace kumquat
