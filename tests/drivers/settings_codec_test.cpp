#include "drivers/json/settings_codec.h"

#include "processes/file_reader.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace kumquat;
using nlohmann::json;

namespace {

json example()
{
    return json::parse(std::get<std::string>(readFile(KUMQUAT_SOURCE_DIR "/examples/settings/entry-consortium.json")));
}

std::string messageFor(const json& root)
{
    const auto parsed = parseEntrySettings("settings", root.dump());
    const auto* failure = errorOf(parsed);
    return failure ? failure->message : "";
}

} // namespace

TEST_CASE("the example settings of an entry are valid")
{
    const auto parsed = parseEntrySettings("settings", example().dump());
    REQUIRE(errorOf(parsed) == nullptr);
    CHECK(valueOf(parsed).callers.port == 18080);
    CHECK(valueOf(parsed).upstreams.size() == 2);
}

TEST_CASE("settings errors name the JSON pointer and the value")
{
    auto root = example();
    SECTION("port")
    {
        root["callers"]["port"] = 70000;
        CHECK_THAT(messageFor(root), Catch::Contains("/callers/port") && Catch::Contains("70000"));
    }
    SECTION("unknown member")
    {
        root["colour"] = "blue";
        CHECK_THAT(messageFor(root), Catch::Contains("colour"));
    }
    SECTION("neither document file nor object API")
    {
        root.erase("document_file");
        root.erase("object_api");
        CHECK_THAT(messageFor(root), Catch::Contains("'object_api'") && Catch::Contains("'document_file'"));
    }
    SECTION("no network key on another interface than loopback")
    {
        root["peer_address"] = "tcp://10.0.0.1:18070";
        CHECK_THAT(messageFor(root), Catch::Contains("/network_key"));
        root["network_key"] = std::string(32, 'k');
        CHECK(messageFor(root).empty());
    }
}

TEST_CASE("the routing and retry settings of an entry are parsed and validated")
{
    auto root = example();
    root["link_limit"] = 40;
    root["retry_share"] = 0.25;
    root["lease_time_ms"] = 8000;
    const auto parsed = parseEntrySettings("settings", root.dump());
    REQUIRE(errorOf(parsed) == nullptr);
    const auto& options = valueOf(parsed).options;
    CHECK(options.subset.linkLimit == 40);
    CHECK(options.retryBudget.retriesPerSuccess == 0.25);
    CHECK(options.leaseTime == std::chrono::seconds(8));
    CHECK(options.subset.minSubsetSize == entry_options {}.subset.minSubsetSize);
    root["retry_share"] = 2;
    CHECK_THAT(messageFor(root), Catch::Contains("/retry_share"));
}

TEST_CASE("settings errors omit the values of secrets")
{
    auto root = example();
    root["network_key"] = "too-short-secret";
    CHECK_THAT(messageFor(root), Catch::Contains("/network_key") && !Catch::Contains("too-short-secret"));
}
