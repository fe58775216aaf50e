#pragma once

#include "bench/harness/scenario.h"

#include <rapidcheck.h>

#include <iosfwd>

namespace kumquat_bench {

// RapidCheck prints counterexamples with these functions, which it finds by argument-dependent lookup.
void showValue(const fault&, std::ostream&);
void showValue(const scenario&, std::ostream&);

} // namespace kumquat_bench

namespace kumquat_test {

// Returns a scenario without faults on two entries, three engines and two plain workers. Two of its four classes, one of
// them on the plain service, are not repeatable.
kumquat_bench::scenario smallScenario();

// Generates smallScenario() with a random seed, network faults, disconnecting callers, and up to eight process faults.
rc::Gen<kumquat_bench::scenario> scenarioGenerator();

} // namespace kumquat_test
