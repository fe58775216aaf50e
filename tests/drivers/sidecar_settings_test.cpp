#include "drivers/json/settings_codec.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

std::string settingsWith(const std::string& extraMembers)
{
    return R"({"id":"kasa-1","data_centre":"tema","peer_address":"tcp://127.0.0.1:1","admin":{"port":1},"document_file":"d.json",
        "upstream":{"service":"kasa","kind":"engine","port":2})"
        + extraMembers + "}";
}

} // namespace

TEST_CASE("the scheduling settings of a sidecar are parsed and a negative limit is an error")
{
    const auto parsed = parseSidecarSettings("test", settingsWith(R"(,"starvation_limit_ms":5000,"longest_pause_ms":6000,"preemption_limit":1,"suspicion_time_ms":7000,"refusal_time_ms":8000)"));
    REQUIRE_FALSE(errorOf(parsed));
    const auto& options = valueOf(parsed).options;
    CHECK(options.starvationLimit == 5s);
    CHECK(options.maxStartInterval == 6s);
    CHECK(options.preemptionLimit == 1);
    CHECK(options.suspicionTime == 7s);
    CHECK(options.refusalTime == 8s);
    CHECK(errorOf(parseSidecarSettings("test", settingsWith(R"(,"preemption_limit":-1)"))));
}
