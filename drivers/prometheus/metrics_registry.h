#pragma once

#include "core/metric.h"

#include <memory>
#include <string>

namespace kumquat {

// Stores the metrics of a process and serializes them in the Prometheus text format. Safe to use from several threads.
class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();

    void apply(const count_metric&);
    void apply(const gauge_metric&);
    void apply(const observe_metric&);
    // Returns all metrics in the Prometheus text exposition format.
    std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
