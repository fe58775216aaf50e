#pragma once

#include "bench/harness/scenario.h"

#include <rapidcheck.h>

#include <iosfwd>

namespace kumquat_bench {

// Prints faults in counterexamples; found by argument-dependent look-up.
void showValue(const fault&, std::ostream&);
void showValue(const scenario&, std::ostream&);

} // namespace kumquat_bench

namespace kumquat_test {

// A small site with two entries, three engines and two plain workers. Its classes are repeatable and not, on both services.
kumquat_bench::scenario smallSite();

// Draws a schedule of faults, a network and callers that leave, over a small site.
rc::Gen<kumquat_bench::scenario> drawnSchedule();

} // namespace kumquat_test
