#include "servers/router/limited_admission.h"

#include <algorithm>
#include <cmath>

namespace kumquat::router {

namespace {

    // Arrivals are averaged over about this time.
    constexpr double averagingSeconds = 5;
    // Each urgency gets at least this share of what it would get if all were treated alike.
    constexpr double minShare = 0.4;
    // As many requests are saved up for the more urgent ones that about this share of these finds none left.
    constexpr double refusedUrgentShare = 0.1;
    // At most this share of the upstreams has a request saved up, since an upstream with one saved up gains no further ones.
    constexpr double maxReserveShare = 1.0 / 3;
    constexpr duration minReturnTime = std::chrono::milliseconds(100);
    constexpr duration maxReturnTime = std::chrono::seconds(3);

    // How many requests to save up for more urgent ones that use a part of the supply, from 0 to 1.
    double reserveFor(double usedPart, std::size_t capacity)
    {
        const double mostSaved = std::max(1.0, std::floor(static_cast<double>(capacity) * maxReserveShare));
        return usedPart < 1 ? std::min(mostSaved, std::ceil(std::log(refusedUrgentShare) / std::log(usedPart))) : mostSaved;
    }

    double seconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }

} // namespace

std::size_t limited_admission::indexOf(int urgency)
{
    return static_cast<std::size_t>(std::clamp(urgency, 0, static_cast<int>(urgencyCount) - 1));
}

void limited_admission::recordArrival(int urgency, instant now)
{
    auto& item = m_classes[indexOf(urgency)];
    item.decayedArrivals = item.decayedArrivals * std::exp(-seconds(now - item.decayedAt) / averagingSeconds) + 1;
    item.decayedAt = now;
}

double limited_admission::arrivalRate(std::size_t urgency, instant now) const
{
    const auto& item = m_classes[urgency];
    return item.decayedArrivals * std::exp(-seconds(now - item.decayedAt) / averagingSeconds) / averagingSeconds;
}

double limited_admission::moreUrgentRate(std::size_t urgency, instant now) const
{
    double rate = 0;
    for (std::size_t other = 0; other < urgency; ++other)
        rate += arrivalRate(other, now);
    return rate;
}

double limited_admission::remainingRate(std::size_t urgency, const limited_supply& supply, instant now) const
{
    return std::max(supply.requestsPerSecond - moreUrgentRate(urgency, now), guaranteedRate(urgency, supply, now));
}

double limited_admission::guaranteedRate(std::size_t urgency, const limited_supply& supply, instant now) const
{
    const double total = moreUrgentRate(urgencyCount, now);
    return total > 0 ? supply.requestsPerSecond * arrivalRate(urgency, now) / total * minShare : 0;
}

bool limited_admission::admit(int urgency, const limited_supply& supply, instant now)
{
    const auto index = indexOf(urgency);
    const auto moreUrgent = moreUrgentRate(index, now);
    if (moreUrgent <= 0)
        return true;
    const auto reserve = reserveFor(moreUrgent / supply.requestsPerSecond, supply.capacity);
    if (static_cast<double>(supply.available) > reserve)
        return true;
    const bool canSaveReserve = static_cast<double>(supply.capacity) > reserve;
    auto& credit = m_classes[index].credit;
    if (!credit)
        credit.emplace(0, now);
    credit->setRate(canSaveReserve ? guaranteedRate(index, supply, now) : remainingRate(index, supply, now), 1, now);
    if (!credit->hasToken(now))
        return false;
    credit->take(now);
    return true;
}

std::chrono::milliseconds limited_admission::nextReturn(int urgency, const limited_supply& supply, instant now)
{
    const auto index = indexOf(urgency);
    const double rate = remainingRate(index, supply, now);
    const auto interval = rate * seconds(maxReturnTime) > 1 ? std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / rate)) : maxReturnTime;
    auto& lastReturn = m_classes[index].lastReturn;
    lastReturn = std::clamp(lastReturn + interval, now + minReturnTime, now + maxReturnTime);
    return std::chrono::ceil<std::chrono::milliseconds>(lastReturn - now);
}

} // namespace kumquat::router
