#include "servers/entry/organisation_limiter.h"

#include "servers/entry/lease_allocator.h"

#include <algorithm>

namespace kumquat {

namespace {

    constexpr std::chrono::seconds idleTimeout { 30 };
    constexpr std::chrono::milliseconds retryAfterInFlight { 1000 };
    // For an organisation whose share admits no request at all.
    constexpr duration retryAfterWithoutRate = std::chrono::seconds(1000);
    // Weight of the newest sample in the smoothed arrival rate.
    constexpr double rateSmoothing = 0.5;

    double seconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

    caller_error rejection(error_code code, const std::string& organisation, std::chrono::milliseconds retryAfter)
    {
        const auto* limitName = code == error_code::rate_limited ? "its request rate limit" : "its limit of requests in flight";
        return { .code = code, .message = "organisation '" + organisation + "' has reached " + limitName, .ran = ran_state::no, .retryAfter = retryAfter };
    }

} // namespace

bool hasLimits(const organisation& caller)
{
    return caller.limits.requestsPerSecond > 0 || caller.limits.concurrency > 0;
}

std::optional<caller_error> organisation_limiter::admit(const organisation& caller, std::size_t entryCount, instant now)
{
    const auto& limits = caller.limits;
    if (!hasLimits(caller))
        return std::nullopt;
    auto& account = accountFor(caller, entryCount, now);
    account.arrivals++;
    account.lastArrival = now;
    if (limits.concurrency > 0 && account.inFlight >= account.share.concurrency) {
        account.concurrencyRefusals++;
        return rejection(error_code::too_many_in_flight, caller.name, retryAfterInFlight);
    }
    if (limits.requestsPerSecond > 0 && !account.bucket.hasToken(now))
        return rejection(error_code::rate_limited, caller.name, std::chrono::ceil<std::chrono::milliseconds>(account.bucket.timeUntilToken(now).value_or(retryAfterWithoutRate)));
    if (limits.requestsPerSecond > 0)
        account.bucket.take(now);
    account.inFlight++;
    return std::nullopt;
}

organisation_limiter::account& organisation_limiter::accountFor(const organisation& caller, std::size_t entryCount, instant now)
{
    const auto [position, isNew] = m_accounts.try_emplace(caller.name);
    auto& account = position->second;
    reduceExpiredShare(account, equalShare(caller, entryCount), now);
    if (isNew) {
        account.bucket = token_bucket(account.share.burst, now);
        account.demandedAt = now;
    }
    account.bucket.setRate(account.share.requestsPerSecond, account.share.burst, now);
    return account;
}

void organisation_limiter::reduceExpiredShare(account& account, const lease_share& equalPart, instant now)
{
    if (!account.leaseExpiresAt) {
        account.share = equalPart;
        return;
    }
    if (*account.leaseExpiresAt > now)
        return;
    account.share.requestsPerSecond = std::min(account.share.requestsPerSecond, equalPart.requestsPerSecond);
    account.share.burst = std::min(account.share.burst, equalPart.burst);
    account.share.concurrency = std::min(account.share.concurrency, equalPart.concurrency);
}

void organisation_limiter::release(const std::string& organisation)
{
    const auto found = m_accounts.find(organisation);
    if (found != m_accounts.end() && found->second.inFlight > 0)
        found->second.inFlight--;
}

void organisation_limiter::applyShare(const lease_share& share, std::chrono::milliseconds validFor, instant now)
{
    const auto found = m_accounts.find(share.organisation);
    if (found == m_accounts.end())
        return;
    found->second.share = share;
    found->second.bucket.setRate(share.requestsPerSecond, share.burst, now);
    // The allocating entry counts the validity from its answer. Counting from the demand, which was earlier, ensures that the
    // lease expires here first.
    found->second.leaseExpiresAt = found->second.demandedAt + validFor;
}

std::vector<lease_demand> organisation_limiter::collectDemands(instant now)
{
    std::vector<lease_demand> demands;
    for (auto position = m_accounts.begin(); position != m_accounts.end();) {
        auto& [name, account] = *position;
        if (account.inFlight == 0 && account.lastArrival + idleTimeout <= now) {
            position = m_accounts.erase(position);
            continue;
        }
        const double elapsed = seconds(now - account.demandedAt);
        if (elapsed > 0)
            account.arrivalRate += rateSmoothing * (account.arrivals / elapsed - account.arrivalRate);
        demands.push_back({ name, account.arrivalRate, account.inFlight + account.concurrencyRefusals });
        account.arrivals = 0;
        account.concurrencyRefusals = 0;
        account.demandedAt = now;
        ++position;
    }
    return demands;
}

} // namespace kumquat
