#include "servers/entry/upstream_selector.h"

namespace kumquat {

namespace {

    double loadFor(const upstream_state& upstream, std::uint32_t tierRank)
    {
        std::uint32_t ahead = upstream.sentSinceReport;
        for (const auto& load : upstream.lastReport->tiers) {
            if (load.rank <= tierRank)
                ahead += load.running + load.queued;
        }
        return static_cast<double>(ahead) / std::max(1U, upstream.lastReport->slots);
    }

} // namespace

upstream_state* selectUpstream(const std::vector<upstream_state*>& candidates, const selection_request& request)
{
    upstream_state* best = nullptr;
    double bestLoad = 0;
    for (auto* candidate : candidates) {
        if (request.tried && request.tried->contains(candidate->id))
            continue;
        const double load = loadFor(*candidate, request.tierRank);
        if (best && load >= bestLoad)
            continue;
        best = candidate;
        bestLoad = load;
    }
    return best;
}

} // namespace kumquat
