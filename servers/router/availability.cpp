#include "servers/router/availability.h"

#include <algorithm>
#include <optional>

namespace kumquat::router {

namespace {

    constexpr auto retryAfterFailure = std::chrono::milliseconds(200);
    // Another router may have a request left of a limit before this one, so callers are not told to wait longer for it.
    constexpr duration maxWaitForLimit = std::chrono::seconds(1);

    // How long until an upstream is worth another try, by its pause and by its limit.
    duration timeUntilRetry(const upstream_state& upstream, instant now)
    {
        const auto pause = std::max(duration {}, upstream.blockedUntil - now);
        if (!upstream.quota)
            return pause;
        const auto wait = upstream.quota->bucket.timeUntilToken(now).value_or(retryAfterFailure);
        return std::max(pause, std::min(wait, maxWaitForLimit));
    }

    // How long until one of the upstreams is worth another try, or nothing if none is in service.
    std::optional<duration> timeUntilRetry(const std::vector<shared_upstream>& upstreams, instant now)
    {
        std::optional<duration> earliest;
        for (const auto& upstream : upstreams) {
            if (!upstream->inService())
                continue;
            const auto wait = timeUntilRetry(*upstream, now);
            earliest = earliest ? std::min(*earliest, wait) : wait;
        }
        return earliest;
    }

    bool isLimited(const std::vector<shared_upstream>& upstreams)
    {
        return std::any_of(upstreams.begin(), upstreams.end(), [](const shared_upstream& item) { return item->inService() && item->quota; });
    }

} // namespace

caller_error describeUnavailability(const std::vector<shared_upstream>& upstreams, instant now)
{
    const auto wait = timeUntilRetry(upstreams, now);
    if (!wait || *wait == duration {})
        return { error_code::no_upstream, "no upstream accepted the request", ran_state::no, retryAfterFailure };
    const auto* message = isLimited(upstreams) ? "the upstreams limit their requests, and this router has used up its share" : "each upstream has asked for a pause";
    return { error_code::no_upstream, message, ran_state::no, std::chrono::ceil<std::chrono::milliseconds>(*wait) };
}

} // namespace kumquat::router
