#include "servers/router/limited_admission.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace kumquat::router;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const instant start = instant() + std::chrono::hours(1);

// Records arrivals of an urgency at a rate for ten seconds, the last one at the given time.
void recordArrivals(limited_admission& admission, int urgency, double perSecond, instant until)
{
    for (double before = 10; before >= 0; before -= 1 / perSecond)
        admission.recordArrival(urgency, until - std::chrono::duration_cast<duration>(std::chrono::duration<double>(before)));
}

} // namespace

TEST_CASE("without more urgent requests the last one that is left may start", "[rate-limit]")
{
    limited_admission admission;
    recordArrivals(admission, 3, 10, start);
    CHECK(admission.admit(3, { 1, 9, 2 }, start));
}

TEST_CASE("less urgent requests leave some for more urgent ones, which take the last", "[rate-limit]")
{
    limited_admission admission;
    recordArrivals(admission, 1, 2, start);
    recordArrivals(admission, 5, 10, start);
    const limited_supply scarce { 1, 9, 4 };
    CHECK_FALSE(admission.admit(5, scarce, start));
    CHECK(admission.admit(1, scarce, start));
    CHECK(admission.admit(5, { 9, 9, 4 }, start));
}

TEST_CASE("every urgency gets a part of the supply", "[rate-limit]")
{
    limited_admission admission;
    int started = 0;
    for (int step = 0; step < 6000; ++step) {
        const auto now = start + step * milliseconds(10);
        admission.recordArrival(0, now);
        if (step % 10 == 0) {
            admission.recordArrival(9, now);
            started += admission.admit(9, { 1, 9, 5 }, now) ? 1 : 0;
        }
    }
    // A tenth of the arrivals, so 0.5 a second if all were treated alike.
    CHECK(started >= 0.25 * 0.5 * 60);
    CHECK(started <= 0.5 * 60);
}

TEST_CASE("refused callers are told to come back one after the other, urgent ones sooner", "[rate-limit]")
{
    limited_admission admission;
    recordArrivals(admission, 0, 1, start);
    recordArrivals(admission, 4, 20, start);
    const limited_supply supply { 0, 9, 4 };
    auto previous = admission.nextReturn(4, supply, start);
    for (int caller = 0; caller < 5; ++caller) {
        const auto next = admission.nextReturn(4, supply, start);
        CHECK(next > previous);
        previous = next;
    }
    CHECK(admission.nextReturn(0, supply, start) < previous);
    for (int caller = 0; caller < 100; ++caller)
        CHECK(admission.nextReturn(4, supply, start) <= seconds(3));
    CHECK(admission.nextReturn(4, { 0, 0, 0 }, start) <= seconds(3));
}
