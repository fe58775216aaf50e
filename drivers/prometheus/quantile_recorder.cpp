#include "drivers/prometheus/quantile_recorder.h"

#include <cmath>
#include <prometheus/summary.h>

namespace kumquat {

namespace {

    // The summary discards all samples at this interval, which exceeds the duration of any load experiment.
    constexpr std::chrono::hours sampleLifetime { 24 };
    // The allowed error of the rank: the estimate for 0.99 lies between the exact quantiles 0.9895 and 0.9905.
    constexpr double rankError = 0.0005;

} // namespace

struct quantile_recorder::implementation {
    prometheus::Summary summary { { { 0.5, rankError }, { 0.95, rankError }, { 0.99, rankError } }, sampleLifetime, 1 };
};

quantile_recorder::quantile_recorder()
    : m_implementation(std::make_unique<implementation>())
{
}

quantile_recorder::~quantile_recorder() = default;
quantile_recorder::quantile_recorder(quantile_recorder&&) noexcept = default;

void quantile_recorder::record(std::chrono::microseconds sample)
{
    m_implementation->summary.Observe(static_cast<double>(sample.count()));
}

std::chrono::microseconds quantile_recorder::quantile(double rank) const
{
    for (const auto& item : m_implementation->summary.Collect().summary.quantile) {
        if (item.quantile == rank && std::isfinite(item.value))
            return std::chrono::microseconds(std::llround(item.value));
    }
    return std::chrono::microseconds { 0 };
}

} // namespace kumquat
