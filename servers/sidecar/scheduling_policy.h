#pragma once

#include <variant>

namespace kumquat {

// Baseline: first come, first served, whatever the tier. Nothing is displaced or preempted.
struct fifo_scheduling { };

// Baseline: strict order of tiers, first come first served inside a tier. Nothing is preempted.
struct priority_scheduling { };

// The product's policy: tiers, a guaranteed share for each class, fairness by organisation, deadlines and preemption.
struct fair_scheduling { };

// For tests only: serves the lowest tier first and sheds the highest, so that the invariant checks are seen to fail.
struct inverted_scheduling { };

using scheduling_policy = std::variant<fair_scheduling, priority_scheduling, fifo_scheduling, inverted_scheduling>;

} // namespace kumquat
