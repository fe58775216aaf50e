#include "core/timer_queue.h"

#include <catch2/catch.hpp>
#include <string>

using namespace kumquat;
using namespace std::chrono_literals;

TEST_CASE("a timer queue returns due keys in the order of their deadlines, without moved and cancelled ones")
{
    timer_queue<std::string> timers;
    const instant start { 1h };
    timers.set("late", start + 2s);
    timers.set("early", start + 1s);
    timers.set("moved", start + 1s);
    timers.set("moved", start + 3s);
    timers.set("cancelled", start + 1s);
    timers.cancel("cancelled");
    CHECK(timers.nextDeadline() == start + 1s);
    CHECK_FALSE(timers.popDue(start));
    CHECK(timers.popDue(start + 2s) == "early");
    CHECK(timers.popDue(start + 2s) == "late");
    CHECK_FALSE(timers.popDue(start + 2s));
    CHECK(timers.popDue(start + 3s) == "moved");
    CHECK(timers.size() == 0);
}
