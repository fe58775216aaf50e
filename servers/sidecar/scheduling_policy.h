#pragma once

#include <variant>

namespace kumquat {

// Baseline: first come, first served, regardless of tiers. Nothing is displaced or preempted.
struct fifo_scheduling { };

// Baseline: strict priority of tiers, first come, first served within a tier. A full queue drops its lowest tier. Nothing
// is preempted.
struct priority_scheduling { };

// The default policy: priority of tiers, a guaranteed share for each class, fair queueing between organisations, deadlines
// and preemption.
struct fair_scheduling { };

// For tests only: serves the lowest tier first and sheds the highest, to show that scheduling_invariants detects inversions.
struct inverted_scheduling { };

using scheduling_policy = std::variant<fair_scheduling, priority_scheduling, fifo_scheduling, inverted_scheduling>;

} // namespace kumquat
