#include "platform/json_scanner.h"
#include "platform/report_codec.h"
#include "platform/store_codec.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace kumquat::platform;

namespace {

const std::string goodSpec = R"({"Service":"llm","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":6,"State":"ready","born":17})";
const std::string goodConfig = R"({"Version":7,"Routes":[],"Services":[]})";

std::string object(const std::string& name, const std::string& spec)
{
    return R"({"Metadata":{"Name":")" + name + R"(","Revision":8},"Spec":)" + spec + "}";
}

std::string repeat(const std::string& text, int count)
{
    std::string repeated;
    for (int number = 0; number < count; ++number)
        repeated += text;
    return repeated;
}

// What another writer may leave where the spec of an object stands.
std::vector<std::string> oddSpecs()
{
    constexpr int depth = 100'000;
    const auto withField = [](const std::string& field) { return goodSpec.substr(0, goodSpec.size() - 1) + "," + field + "}"; };
    return {
        repeat("[", depth) + repeat("]", depth),
        repeat(R"({"a":)", depth) + "1" + repeat("}", depth),
        withField(R"("more":)" + repeat("[", depth) + repeat("]", depth)),
        withField(R"("Sequence":1e999)"),
        withField(R"("Sequence":-1e999)"),
        withField("\"Zone\":\"\xff\xfe\""),
        withField(R"("Zone":"\udcff\udcfe")"),
        R"({"Service":"llm","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":1e300,"State":"ready"})",
        R"({"Service":"llm","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":1.5,"State":"ready"})",
        R"({"Service":"llm","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":6,"State":"ready","born":1e300})",
        R"({"Service":"llm","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":6,"State":"ready","born":18446744073709551615})",
        R"({"Service":"llm","Address":"10.0.0.1:65536","Zone":"z","Version":"v1","Slots":6,"State":"ready"})",
        R"({"Service":"llm","Address":"10.0.0.1:0","Zone":"z","Version":"v1","Slots":6,"State":"ready"})",
        R"({"Service":"llm","Address":"10.0.0.1:99999999999999999999","Zone":"z","Version":"v1","Slots":6,"State":"ready"})",
        R"({"Service":"llm","Address":"10.0.0.1:-1","Zone":"z","Version":"v1","Slots":6,"State":"ready"})",
        R"({"Service":"llm","Address":)" + std::string("\"") + std::string(100'000, 'x') + R"(:1x","Zone":"z","Version":"v1","Slots":6,"State":"ready"})",
        "\"\\\"}]\"",
        "nothing",
        "1",
        "null",
        "{}",
    };
}

template <typename Value>
void checkOthersAreRead(const store_read_outcome<Value>& outcome, const std::string& good)
{
    const auto* page = std::get_if<store_page<Value>>(&outcome);
    REQUIRE(page);
    REQUIRE(page->entries.size() == 3);
    CHECK(page->entries[0].name == good);
    CHECK(std::holds_alternative<Value>(page->entries[0].content));
    REQUIRE(std::holds_alternative<invalid_object>(page->entries[1].content));
    CHECK(page->entries[1].name == "odd");
    CHECK(std::get<invalid_object>(page->entries[1].content).reason.size() <= 200);
    CHECK(std::holds_alternative<Value>(page->entries[2].content));
}

std::string list(const std::string& first, const std::string& odd, const std::string& last)
{
    return R"({"Items":[)" + first + "," + odd + "," + last + R"(],"HasMore":false,"At":12})";
}

} // namespace

TEST_CASE("one odd entry keeps no other one of its list from being read", "[platform]")
{
    for (const auto& spec : oddSpecs()) {
        CAPTURE(spec.substr(0, 200));
        const auto odd = object("odd", spec);
        checkOthersAreRead(decodeUpstreams(200, list(object("i-1", goodSpec), odd, object("i-2", goodSpec))), "i-1");
        checkOthersAreRead(decodeConfigs(200, list(object("main", goodConfig), odd, object("main", goodConfig))), "main");
        const auto refusal = object("request-0000000000000001", R"({"LastCrashUnixMs":5})");
        checkOthersAreRead(decodeRefusals(200, list(refusal, odd, refusal), time_of_day()), "request-0000000000000001");
    }
}

TEST_CASE("one odd entry keeps no other change of a watch from being read", "[platform]")
{
    for (const auto& spec : oddSpecs()) {
        CAPTURE(spec.substr(0, 200));
        const auto outcome = decodeUpstreams(200, R"({"events":[{"Object":)" + object("odd", spec) + R"(},{"Object":)" + object("i-2", goodSpec) + R"(}],"At":13})");
        const auto* changes = std::get_if<store_changes<upstream_record>>(&outcome);
        REQUIRE(changes);
        REQUIRE(changes->entries.size() == 2);
        CHECK(std::holds_alternative<invalid_object>(changes->entries[0].content));
        CHECK(std::holds_alternative<upstream_record>(changes->entries[1].content));
    }
}

TEST_CASE("an object without readable metadata keeps no other one from being read", "[platform]")
{
    for (const std::string metadata : { "7", R"({"Name":3,"Revision":1})", R"({"Name":"a","Revision":-1})", R"({"Name":"a","Revision":1e999})", "{" }) {
        CAPTURE(metadata);
        const auto outcome = decodeUpstreams(200, R"({"Items":[)" + object("i-1", goodSpec) + R"(,{"Metadata":)" + metadata + R"(,"Spec":{}}],"At":12})");
        if (metadata == "{") {
            CHECK(std::holds_alternative<store_read_failed>(outcome));
            continue;
        }
        const auto* page = std::get_if<store_page<upstream_record>>(&outcome);
        REQUIRE(page);
        REQUIRE(page->entries.size() == 2);
        CHECK(std::holds_alternative<upstream_record>(page->entries[0].content));
        CHECK(std::holds_alternative<invalid_object>(page->entries[1].content));
    }
}

TEST_CASE("names of objects are encoded in the requests that continue a list", "[platform]")
{
    const auto request = encodeList(store_kind::upstreams, { "10.0.0.1", 80 }, "a b&c\r\n\xff");
    CHECK(request.starts_with("GET /objects/servers?After=a%20b%26c%0D%0A%FF HTTP/1.1\r\n"));
}

TEST_CASE("numbers of the configuration beyond their range make it unusable, not the process", "[platform]")
{
    for (const std::string number : { "1e300", "-1e300", "99999999999999999999", "2147483648", "0.5" }) {
        CAPTURE(number);
        const auto route = R"({"Name":"r","Host":"h","PathPrefix":"/a/","Kind":"idempotent","TimeoutMs":800,"Service":"t","Priority":)" + number + "}";
        const auto outcome = decodeConfigs(200, R"({"Items":[)" + object("main", R"({"Version":7,"Routes":[)" + route + R"(],"Services":[]})") + R"(],"At":3})");
        CHECK(std::holds_alternative<invalid_object>(std::get<store_page<shared_config>>(outcome).entries.at(0).content));
    }
}

TEST_CASE("a report is of a start only if its text says so, however odd the rest is", "[platform]")
{
    CHECK(isReportOf(17, 200, R"({"born":17,"Models":)" + repeat("[", 30'000) + repeat("]", 30'000) + "}"));
    CHECK(isReportOf(17, 200, R"({"KvUsed":1e999,"born":17})"));
    for (const std::string born : { "1e300", "17.5", "\"17\"", "18446744073709551615", "[17]" })
        CHECK_FALSE(isReportOf(17, 200, R"({"born":)" + born + "}"));
    CHECK_FALSE(isReportOf(17, 200, repeat("[", 30'000)));
}
