#include "drivers/json/object_api_codec.h"

#include <catch2/catch.hpp>

using namespace kumquat;

TEST_CASE("the instance list is parsed with all fields")
{
    const auto parsed = parseInstances(R"({"instances":[{"id":"entry-1","role":"entry","address":"tcp://a"},{"id":"kasa-1","role":"sidecar","service":"kasa","data_centre":"tema","address":"tcp://b","leaving":true}]})");
    REQUIRE(errorOf(parsed) == nullptr);
    const auto& instances = valueOf(parsed);
    REQUIRE(instances.size() == 2);
    CHECK(instances[0].role == "entry");
    CHECK(instances[1].service == "kasa");
    CHECK(instances[1].leaving);
    CHECK(errorOf(parseInstances("{}")) != nullptr);
}
