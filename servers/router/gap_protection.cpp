#include "servers/router/gap_protection.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquat::router {

namespace {

    // Streams count for about this time in the share that was disturbed.
    constexpr double averagingSeconds = 10;
    // Engines are reserved when more than this share of the sensitive streams had too long a gap, and at least so many did.
    constexpr double maxDisturbedShare = 0.04;
    constexpr double minDisturbedStreams = 1.5;
    // Engines stay reserved for this long after the last time that too many streams were disturbed, since the reservation itself
    // is what keeps the gaps short.
    constexpr auto reservationTime = std::chrono::seconds(60);
    // Reserved engines have more requests each, which delays first events. Only streams whose first event may take at least as long as
    // this many gaps can afford that.
    constexpr int minFirstEventGaps = 4;
    // A report that is older than this is not used.
    constexpr auto reportLifetime = std::chrono::seconds(3);
    // The share moves in steps of this size, and only when the mean is further away than that.
    constexpr double shareStep = 0.1;
    // Neither kind of stream gets less than this share of the engines.
    constexpr double minShare = 0.1;

} // namespace

void gap_protection::setConfig(const routing_config& config)
{
    for (auto& [name, state] : m_services) {
        state.shortestGapTarget = {};
        state.divisible = false;
    }
    const auto visit = [this, &config](const auto& action) {
        for (const auto& [prefix, item] : config.routes()) {
            if (!item.streaming || !item.usesPromptCache)
                continue;
            for (const auto& target : item.services)
                action(m_services[target.service], item);
        }
    };
    visit([](service_state& state, const route& item) { state.shortestGapTarget = state.shortestGapTarget == duration {} ? item.eventGapTarget : std::min(state.shortestGapTarget, item.eventGapTarget); });
    visit([](service_state& state, const route& item) { state.divisible = state.divisible || item.eventGapTarget > state.shortestGapTarget; });
    visit([](service_state& state, const route& item) {
        const bool isSensitive = item.eventGapTarget <= state.shortestGapTarget;
        if (isSensitive && item.latencyTarget < item.eventGapTarget * minFirstEventGaps)
            state.divisible = false;
    });
}

bool gap_protection::isSensitive(const std::string& service, duration gapTarget) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.divisible && gapTarget <= found->second.shortestGapTarget;
}

void gap_protection::recordArrival(const std::string& service, bool sensitive)
{
    auto& state = m_services[service];
    ++state.totalRequests;
    state.sensitiveRequests += sensitive ? 1 : 0;
}

void gap_protection::recordEnd(const std::string& service, bool sensitive)
{
    auto& state = m_services[service];
    --state.totalRequests;
    state.sensitiveRequests -= sensitive ? 1 : 0;
}

void gap_protection::decay(service_state& state, instant now)
{
    const double elapsed = std::chrono::duration<double>(now - state.decayedAt).count();
    const double factor = std::exp(-elapsed / averagingSeconds);
    state.decayedAt = now;
    state.sensitiveStreams *= factor;
    state.disturbedStreams *= factor;
}

void gap_protection::recordStream(const std::string& service, duration longestGap, instant now)
{
    auto& state = m_services[service];
    decay(state, now);
    state.sensitiveStreams += 1;
    if (longestGap > state.shortestGapTarget)
        state.disturbedStreams += 1;
    if (state.disturbedStreams >= minDisturbedStreams && state.disturbedStreams > maxDisturbedShare * state.sensitiveStreams)
        state.disturbedAt = now;
}

bool gap_protection::isDisturbed(const service_state& state, instant now)
{
    return state.divisible && state.disturbedAt && now - *state.disturbedAt <= reservationTime;
}

reservation_report gap_protection::sumReports(std::uint32_t service, service_state& state, bool withOtherDataCentres, instant now)
{
    std::erase_if(state.reports, [now](const auto& item) { return now - item.second.receivedAt > reportLifetime; });
    reservation_report sum { service, state.sensitiveRequests, state.totalRequests, isDisturbed(state, now) };
    for (const auto& [sender, item] : state.reports) {
        if (item.scope == digest_scope::data_centre && !withOtherDataCentres)
            continue;
        sum.sensitiveRequests += item.report.sensitiveRequests;
        sum.totalRequests += item.report.totalRequests;
        sum.disturbed = sum.disturbed || item.report.disturbed;
    }
    return sum;
}

std::optional<double> gap_protection::reservedShare(const std::string& service, instant now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.divisible)
        return std::nullopt;
    auto& state = found->second;
    const auto sum = sumReports(0, state, true, now);
    if (!sum.disturbed || sum.totalRequests == 0)
        return std::nullopt;
    const double share = static_cast<double>(sum.sensitiveRequests) / sum.totalRequests;
    if (state.share == 0 || std::abs(share - state.share) > shareStep)
        state.share = std::clamp(std::round(share / shareStep) * shareStep, minShare, 1 - minShare);
    return state.share;
}

std::vector<reservation_change> gap_protection::takeChanges(instant now)
{
    std::vector<reservation_change> changes;
    for (auto& [name, state] : m_services) {
        const auto share = reservedShare(name, now);
        if (std::exchange(state.loggedShare, share) != share)
            changes.push_back({ name, share });
    }
    return changes;
}

std::vector<reservation_report> gap_protection::ownReports(instant now)
{
    std::vector<reservation_report> reports;
    for (auto& [name, state] : m_services) {
        if (sumReports(0, state, true, now).disturbed)
            reports.push_back({ static_cast<std::uint32_t>(hashBytes(name)), state.sensitiveRequests, state.totalRequests, isDisturbed(state, now) });
    }
    return reports;
}

std::vector<reservation_report> gap_protection::dataCentreReports(instant now)
{
    std::vector<reservation_report> reports;
    for (auto& [name, state] : m_services) {
        if (sumReports(0, state, true, now).disturbed)
            reports.push_back(sumReports(static_cast<std::uint32_t>(hashBytes(name)), state, false, now));
    }
    return reports;
}

void gap_protection::learn(const router_digest& digest, instant now)
{
    for (const auto& report : digest.reservations) {
        const auto isReported = [&report](const auto& item) { return static_cast<std::uint32_t>(hashBytes(item.first)) == report.service; };
        const auto found = std::find_if(m_services.begin(), m_services.end(), isReported);
        if (found != m_services.end())
            found->second.reports.insert_or_assign(digest.scope == digest_scope::router ? digest.instance : digest.dataCentre, peer_report { report, digest.scope, now });
    }
}

} // namespace kumquat::router
