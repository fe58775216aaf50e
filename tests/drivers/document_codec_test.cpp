#include "drivers/json/document_codec.h"

#include "processes/document_loader.h"
#include "processes/file_reader.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace kumquat;
using nlohmann::json;

namespace {

json example()
{
    return json::parse(std::get<std::string>(readFile(KUMQUAT_SOURCE_DIR "/examples/consortium.json")));
}

std::string messageFor(const json& root)
{
    const auto parsed = parseDocument("doc", root.dump());
    const auto* failure = errorOf(parsed);
    return failure ? failure->message : "";
}

} // namespace

TEST_CASE("both example documents are valid and unchanged by a round trip")
{
    for (const char* path : { KUMQUAT_SOURCE_DIR "/examples/consortium.json", KUMQUAT_SOURCE_DIR "/examples/archive.json" }) {
        const auto loaded = loadDocument(path);
        REQUIRE(errorOf(loaded) == nullptr);
        const auto text = formatDocument(valueOf(loaded)->contents->contents());
        const auto reparsed = parseDocument("copy", text);
        REQUIRE(errorOf(reparsed) == nullptr);
        CHECK(formatDocument(valueOf(reparsed)) == text);
    }
}

TEST_CASE("document errors name the JSON pointer and the value")
{
    auto root = example();
    SECTION("wrong type")
    {
        root["classes"][1]["expected_tokens"] = "many";
        CHECK_THAT(messageFor(root), Catch::Contains("/classes/1/expected_tokens") && Catch::Contains("many"));
    }
    SECTION("unknown tier")
    {
        root["classes"][0]["tier"] = "vip";
        CHECK_THAT(messageFor(root), Catch::Contains("/classes/0/tier") && Catch::Contains("'vip'"));
    }
    SECTION("duplicate name")
    {
        root["organisations"][1]["name"] = root["organisations"][0]["name"];
        CHECK_THAT(messageFor(root), Catch::Contains("/organisations/1/name") && Catch::Contains("used twice"));
    }
    SECTION("key of two organisations")
    {
        root["organisations"][1]["keys"] = root["organisations"][0]["keys"];
        CHECK_THAT(messageFor(root), Catch::Contains("/organisations/1/keys"));
    }
    SECTION("rule with an unknown class")
    {
        root["rules"][0]["class"] = "gone";
        CHECK_THAT(messageFor(root), Catch::Contains("/rules/0/class") && Catch::Contains("'gone'"));
    }
    SECTION("text that is not JSON")
    {
        const auto parsed = parseDocument("doc", "{\"format\":");
        CHECK_THAT(errorOf(parsed)->message, Catch::Contains("doc") && Catch::Contains("parse error"));
    }
}
