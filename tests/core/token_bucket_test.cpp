#include "core/token_bucket.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a token bucket allows its burst, and then events at its rate", "[rate-limit]")
{
    instant now;
    token_bucket bucket(0, now);
    bucket.setRate(2, 3, now);
    CHECK_FALSE(bucket.hasToken(now));
    CHECK(bucket.timeUntilToken(now) > milliseconds(499));
    CHECK(bucket.timeUntilToken(now) < milliseconds(501));
    now += seconds(60);
    for (int event = 0; event < 3; ++event) {
        REQUIRE(bucket.hasToken(now));
        bucket.take(now);
    }
    CHECK_FALSE(bucket.hasToken(now));
    now += *bucket.timeUntilToken(now);
    CHECK(bucket.hasToken(now));
}

TEST_CASE("a lower burst takes effect at once, and a bucket without a rate never fills", "[rate-limit]")
{
    instant now;
    token_bucket bucket(5, now);
    bucket.setRate(0, 0, now);
    CHECK_FALSE(bucket.hasToken(now));
    CHECK_FALSE(bucket.timeUntilToken(now + seconds(3600)).has_value());
    bucket.setRate(1, 1, now);
    CHECK_FALSE(bucket.hasToken(now));
    CHECK(bucket.hasToken(now + seconds(2)));
}
