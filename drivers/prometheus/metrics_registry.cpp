#include "drivers/prometheus/metrics_registry.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace kumquat {

namespace {

    // Upper bounds of the histogram buckets, in seconds.
    const prometheus::Histogram::BucketBoundaries latencyBuckets { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.53, 1, 2.5, 5, 10, 30, 60, 120, 300, 600 };

    std::map<std::string, std::string> labelMap(const metric_labels& labels)
    {
        return { labels.begin(), labels.end() };
    }

} // namespace

struct metrics_registry::implementation {
    prometheus::Registry registry;
};

metrics_registry::metrics_registry()
    : m_implementation(std::make_unique<implementation>())
{
}

metrics_registry::~metrics_registry() = default;

void metrics_registry::apply(const count_metric& metric)
{
    auto& family = prometheus::BuildCounter().Name(metric.name).Register(m_implementation->registry);
    family.Add(labelMap(metric.labels)).Increment(metric.amount);
}

void metrics_registry::apply(const gauge_metric& metric)
{
    auto& family = prometheus::BuildGauge().Name(metric.name).Register(m_implementation->registry);
    family.Add(labelMap(metric.labels)).Set(metric.value);
}

void metrics_registry::apply(const observe_metric& metric)
{
    auto& family = prometheus::BuildHistogram().Name(metric.name).Register(m_implementation->registry);
    family.Add(labelMap(metric.labels), latencyBuckets).Observe(metric.seconds);
}

std::string metrics_registry::text() const
{
    return prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

} // namespace kumquat
