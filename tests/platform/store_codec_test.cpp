#include "platform/store_codec.h"

#include <catch2/catch.hpp>

using namespace kumquat;
using namespace kumquat::platform;

namespace {

const std::string goodRecord = R"({"Metadata":{"Name":"i-1","Revision":8},"Spec":{"Service":"llm","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":6,"State":"ready","Sequence":4,"born":17}})";

} // namespace

TEST_CASE("a page of upstreams is decoded, and an invalid record does not affect the others", "[platform]")
{
    const auto outcome = decodeUpstreams(200, R"({"Items":[)" + goodRecord + R"(,{"Metadata":{"Name":"odd","Revision":9},"Spec":{"Service":7}},{"Metadata":{"Name":"odd-2","Revision":9},"Spec":"text"}],"HasMore":true,"At":12})");
    const auto* page = std::get_if<store_page<upstream_record>>(&outcome);
    REQUIRE(page);
    CHECK(page->more);
    CHECK(page->revision == 12);
    REQUIRE(page->entries.size() == 3);
    const auto& record = std::get<upstream_record>(page->entries[0].content);
    CHECK(record.id == "i-1");
    CHECK(record.address == endpoint { "10.0.0.1", 80 });
    CHECK(record.startedUnixMs == 17);
    CHECK(record.version == "v1");
    CHECK_FALSE(record.leaving);
    CHECK(std::holds_alternative<invalid_object>(page->entries[1].content));
    CHECK(std::holds_alternative<invalid_object>(page->entries[2].content));
}

TEST_CASE("decoded changes include removed objects", "[platform]")
{
    const auto outcome = decodeUpstreams(200, R"({"events":[{"Deleted":true,"Object":)" + goodRecord + R"(}],"At":13})");
    const auto* changes = std::get_if<store_changes<upstream_record>>(&outcome);
    REQUIRE(changes);
    CHECK(changes->revision == 13);
    REQUIRE(changes->entries.size() == 1);
    CHECK(std::holds_alternative<removed_object>(changes->entries[0].content));
}

TEST_CASE("status 410 means lost history; other errors and malformed answers are failed reads", "[platform]")
{
    CHECK(std::holds_alternative<store_history_lost>(decodeUpstreams(410, "")));
    CHECK(std::holds_alternative<store_read_failed>(decodeUpstreams(503, "")));
    CHECK(std::holds_alternative<store_read_failed>(decodeUpstreams(200, "{\"Items\":[")));
    CHECK(std::holds_alternative<store_read_failed>(decodeUpstreams(200, "{}")));
}

TEST_CASE("the operator's configuration is decoded, and the longest matching prefix selects the route", "[platform]")
{
    const auto outcome = decodeConfigs(200, R"({"Items":[{"Metadata":{"Name":"main","Revision":3},"Spec":{"Version":7,
        "Routes":[{"Name":"r","Host":"H.Example","PathPrefix":"/a/","Kind":"streaming","TimeoutMs":8000,"SloMs":1000,"Priority":2,"Backends":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}],"MaxAttempts":2,"Resumable":true,"GapTargetMs":600},
                  {"Name":"q","Host":"h.example","PathPrefix":"/a/b/","Kind":"idempotent","TimeoutMs":800,"Service":"t"}],
        "Services":[{"Name":"s","MaxConns":620,"Engine":{"Slots":128,"KvCapacity":1000,"Stride":5}},{"Name":"t"}],
        "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
        "Tenants":[{"Name":"o","ApiKeys":["k1","k2"],"Priority":1}]}}],"HasMore":false,"At":3})");
    const auto* page = std::get_if<store_page<shared_config>>(&outcome);
    REQUIRE(page);
    const auto config = std::get<shared_config>(page->entries[0].content);
    CHECK(config->version == 7);
    CHECK(config->requiresKeys);
    CHECK(config->keys.at("k2").name == "o");
    CHECK(config->keys.at("k2").rank == 1);
    CHECK(config->limits.bodyBytes == 100);
    CHECK(config->services.at("s").engine->kvCacheTokens == 1000);
    const auto* wide = config->match("h.example", "/a/x");
    REQUIRE(wide);
    CHECK(wide->name == "r");
    CHECK(wide->resumable);
    CHECK(wide->services[1].weight == 10);
    CHECK(config->match("h.example", "/a/b/c")->name == "q");
    CHECK(config->match("h.example", "/a") == nullptr);
    CHECK(config->match("other", "/a/b/c") == nullptr);
}

// Guards against keys that were revoked together and are accepted again, as is any other, because no list of keys is left.
TEST_CASE("an empty list of organisations requires keys and has none, and a missing one requires none", "[platform]")
{
    const auto decode = [](const std::string& tenants) {
        const auto outcome = decodeConfigs(200, R"({"Items":[{"Metadata":{"Name":"main","Revision":3},"Spec":{"Version":7,"Routes":[],"Services":[])" + tenants + R"(}}],"HasMore":false,"At":3})");
        return std::get<shared_config>(std::get<store_page<shared_config>>(outcome).entries[0].content);
    };
    CHECK(decode(R"(,"Tenants":[])")->requiresKeys);
    CHECK(decode(R"(,"Tenants":[])")->keys.empty());
    CHECK_FALSE(decode("")->requiresKeys);
}

TEST_CASE("an invalid configuration is reported with the name of the missing field", "[platform]")
{
    const auto outcome = decodeConfigs(200, R"({"Items":[{"Metadata":{"Name":"main","Revision":3},"Spec":{"Version":7,"Routes":[{"Name":"r","Host":"h"}],"Services":[]}}],"At":3})");
    const auto& page = std::get<store_page<shared_config>>(outcome);
    const auto* bad = std::get_if<invalid_object>(&page.entries[0].content);
    REQUIRE(bad);
    CHECK(bad->reason.find("PathPrefix") != std::string::npos);
}

TEST_CASE("the store's era is read from its header; a malformed one is an error, a missing one is not", "[platform]")
{
    CHECK(valueOf(decodeEra({ { "store-era", "17" } })) == 17U);
    CHECK_FALSE(valueOf(decodeEra({})).has_value());
    for (const auto* text : { "", "x", "-1", "3 ", "1.5", "99999999999999999999" })
        CHECK(errorOf(decodeEra({ { "Store-Era", text } })) != nullptr);
}

TEST_CASE("a refused suspect is written and read back with its age", "[platform]")
{
    const endpoint store { "10.0.0.9", 80 };
    const time_of_day now { std::chrono::milliseconds(1765000000000) };
    const aged_suspect refusal { { suspect_kind::prompt_part, 0xab }, std::chrono::milliseconds(1500) };
    const auto created = encodeRefusal(store, refusal, false, now);
    CHECK(created.starts_with("POST /objects/refused-suspects HTTP/1.1\r\n"));
    const auto body = created.substr(created.find("\r\n\r\n") + 4);
    CHECK(body == R"({"Metadata":{"Name":"prompt-part-00000000000000ab"},"Spec":{"LastCrashUnixMs":1764999998500}})");
    CHECK(encodeRefusal(store, refusal, true, now).starts_with("PUT /objects/refused-suspects/prompt-part-00000000000000ab HTTP/1.1\r\n"));
    CHECK(encodeRefusalRemoval(store, refusal.suspect).starts_with("DELETE /objects/refused-suspects/prompt-part-00000000000000ab HTTP/1.1\r\n"));
    CHECK(encodeRefusalList(store, "request-1").starts_with("GET /objects/refused-suspects?After=request-1 HTTP/1.1\r\n"));

    const auto outcome = decodeRefusals(200, R"({"Items":[{"Metadata":{"Name":"prompt-part-00000000000000ab","Revision":3},"Spec":{"LastCrashUnixMs":1764999998500}},{"Metadata":{"Name":"odd","Revision":4},"Spec":{"LastCrashUnixMs":1}},{"Metadata":{"Name":"request-0000000000000001","Revision":5},"Spec":{"LastCrashUnixMs":1765000009000}}],"HasMore":false,"At":9})", now);
    const auto* page = std::get_if<store_page<aged_suspect>>(&outcome);
    REQUIRE(page);
    REQUIRE(page->entries.size() == 3);
    const auto& read = std::get<aged_suspect>(page->entries[0].content);
    CHECK(read.suspect == refusal.suspect);
    CHECK(read.age == refusal.age);
    CHECK(std::holds_alternative<invalid_object>(page->entries[1].content));
    // The writer's clock is ahead.
    const auto& ahead = std::get<aged_suspect>(page->entries[2].content);
    CHECK(ahead.suspect == crash_suspect { suspect_kind::request, 1 });
    CHECK(ahead.age == std::chrono::milliseconds(0));
}

TEST_CASE("the status of a write tells whether it has taken effect", "[platform]")
{
    CHECK(decodeWriteStatus(200) == store_write_outcome::written);
    CHECK(decodeWriteStatus(201) == store_write_outcome::written);
    CHECK(decodeWriteStatus(409) == store_write_outcome::conflict);
    CHECK(decodeWriteStatus(404) == store_write_outcome::conflict);
    CHECK(decodeWriteStatus(429) == store_write_outcome::failed);
    CHECK(decodeWriteStatus(503) == store_write_outcome::failed);
}
