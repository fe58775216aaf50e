#include "servers/lease/lease_keeper.h"

#include <catch2/catch.hpp>
#include <random>

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

struct lease_object {
    std::uint64_t version = 0;
    order_lease lease;

    bool write(const write_lease& call)
    {
        if (call.expectedVersion != version)
            return false;
        version++;
        lease = call.lease;
        return true;
    }
};

// A holder whose calls are executed at once, unless its answers are lost.
struct lease_fixture {
    lease_object& object;
    lease_keeper keeper;
    bool losesAnswers = false;

    lease_fixture(lease_object& shared, const std::string& holder)
        : object(shared)
        , keeper({ .holder = holder })
    {
    }

    void wake(instant now)
    {
        auto call = keeper.step(lease_timer_due {}, now);
        for (int calls = 0; call && calls < 4; ++calls) {
            if (const auto* write = std::get_if<write_lease>(&*call)) {
                const bool isWritten = object.write(*write);
                auto outcome = isWritten ? lease_write_outcome::written : lease_write_outcome::conflict;
                if (losesAnswers)
                    outcome = lease_write_outcome::lost;
                call = keeper.step(lease_written { outcome, object.version }, now);
            } else {
                call = keeper.step(lease_read { object.version, object.lease }, now);
            }
        }
    }
};

} // namespace

TEST_CASE("lease is renewed under one fencing number and a second process waits")
{
    lease_object object;
    lease_fixture first(object, "a");
    lease_fixture second(object, "b");
    instant now { 1h };
    for (int step = 0; step < 600; ++step) {
        now += 100ms;
        first.wake(now);
        second.wake(now);
        CHECK(first.keeper.fencingNumber(now) == 1U);
        CHECK_FALSE(second.keeper.fencingNumber(now));
    }
}

TEST_CASE("a paused holder has no right when it resumes, and its successor has a larger number")
{
    lease_object object;
    lease_fixture first(object, "a");
    lease_fixture second(object, "b");
    instant now { 1h };
    first.wake(now);
    for (const auto end = now + 30s; now < end; now += 100ms)
        second.wake(now);
    CHECK(second.keeper.fencingNumber(now) == 2U);
    CHECK_FALSE(first.keeper.fencingNumber(now));
    first.wake(now);
    CHECK_FALSE(first.keeper.fencingNumber(now));
    CHECK(object.lease.holder == "b");
}

TEST_CASE("a holder that slept beyond its lease renews it when nobody has taken it")
{
    lease_object object;
    lease_fixture first(object, "a");
    instant now { 1h };
    first.wake(now);
    now += 30s;
    CHECK_FALSE(first.keeper.fencingNumber(now));
    first.wake(now);
    CHECK(first.keeper.fencingNumber(now) == 1U);
    CHECK(*first.keeper.nextDeadline() > now);
}

TEST_CASE("a lost answer of an acquisition is resolved by reading back, and counts from the write")
{
    lease_object object;
    lease_fixture first(object, "a");
    first.losesAnswers = true;
    const instant now { 1h };
    first.wake(now);
    CHECK(first.keeper.fencingNumber(now) == 1U);
    CHECK(first.keeper.fencingNumber(now + 7999ms) == 1U);
    CHECK_FALSE(first.keeper.fencingNumber(now + 8s));
}

TEST_CASE("whatever is paused or lost, two processes never have the right at once")
{
    std::mt19937_64 random(GENERATE(range(1, 21)));
    lease_object object;
    std::vector<lease_fixture> holders;
    for (const auto* name : { "a", "b", "c" })
        holders.emplace_back(object, name);
    std::vector<instant> pausedUntil(holders.size());
    instant now { 1h };
    std::uint64_t highest = 0;
    for (int step = 0; step < 3000; ++step) {
        now += 100ms;
        int rights = 0;
        for (std::size_t index = 0; index < holders.size(); ++index) {
            if (random() % 200 == 0)
                pausedUntil[index] = now + std::chrono::milliseconds(random() % 30000);
            holders[index].losesAnswers = random() % 3 == 0;
            if (now >= pausedUntil[index])
                holders[index].wake(now);
            if (const auto number = holders[index].keeper.fencingNumber(now)) {
                rights++;
                CHECK(*number >= highest);
                highest = *number;
            }
        }
        CHECK(rights <= 1);
    }
    CHECK(highest > 2);
}
