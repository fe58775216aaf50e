#include "drivers/json/document_text.h"

#include "drivers/json/peer_codec.h"
#include "drivers/json/publication_codec.h"
#include "processes/document_loader.h"
#include "processes/file_reader.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace kumquat;
using nlohmann::json;

namespace {

json example()
{
    return json::parse(std::get<std::string>(readFile(KUMQUAT_SOURCE_DIR "/examples/consortium.json")));
}

json publication(std::uint64_t generation, json contents)
{
    contents.erase("generation");
    return { { "generation", generation }, { "submission_id", "s" + std::to_string(generation) }, { "operator", "ama" }, { "history", json::object() }, { "document", std::move(contents) } };
}

versioned_document_ptr open(const json& root)
{
    const auto opened = openPublishedDocument("doc", root.dump());
    const auto* failure = errorOf(opened);
    INFO((failure ? failure->message : ""));
    REQUIRE(failure == nullptr);
    return valueOf(opened);
}

// Returns a document of the size that is expected in two years.
json largeDocument(int organisations, int models)
{
    auto root = example();
    auto items = json::array();
    for (int number = 0; number < organisations; ++number) {
        auto item = root["organisations"][0];
        item["name"] = "organisation-" + std::to_string(10000 + number);
        char digest[65];
        std::snprintf(digest, sizeof digest, "%064x", number + 1);
        item["keys"] = { std::string("sha256:") + digest };
        items.push_back(item);
    }
    root["organisations"] = items;
    for (int number = 0; number < models; ++number)
        root["services"][0]["models"].push_back("model-" + std::to_string(number));
    root["rules"] = json::array();
    return root;
}

} // namespace

TEST_CASE("a step between two documents yields the target text and is small for a removal in the middle of a list")
{
    const auto from = open(publication(1, example()));
    auto changed = example();
    changed["organisations"].erase(1);
    changed["classes"][0]["targets"]["total_ms"] = 1500;
    changed["organisations"].push_back({ { "name", "aburi-watch" }, { "keys", json::array() } });
    const auto to = open(publication(2, changed));
    const auto step = makeDocumentStep(*from, *to);
    const auto applied = applyDocumentSteps(*from, { step });
    REQUIRE(errorOf(applied) == nullptr);
    CHECK(valueOf(applied)->version == to->version);
    CHECK(valueOf(applied)->text == to->text);
    CHECK(valueOf(applied)->submissionId == "s2");
    CHECK(valueOf(applied)->contents->generation() == 2);
    CHECK(valueOf(applied)->contents->findClass("gate-pass")->targets.total == std::chrono::milliseconds(1500));
    CHECK(step.patch.size() < from->text.size() / 4);
}

TEST_CASE("a step with another base, another result or an invalid patch is an error")
{
    const auto from = open(publication(1, example()));
    auto changed = example();
    changed["classes"][0]["tier"] = "bulk";
    const auto to = open(publication(2, changed));
    auto step = makeDocumentStep(*from, *to);
    SECTION("another base") { CHECK(errorOf(applyDocumentSteps(*to, { step })) != nullptr); }
    SECTION("another result")
    {
        step.to.hash++;
        CHECK_THAT(errorOf(applyDocumentSteps(*from, { step }))->message, Catch::Contains("a text with another hash"));
    }
    SECTION("patch that is not JSON")
    {
        step.patch = "{";
        CHECK(errorOf(applyDocumentSteps(*from, { step })) != nullptr);
    }
    SECTION("patch of a path that does not exist")
    {
        step.patch = R"([{"op":"remove","path":"/no/such"}])";
        CHECK(errorOf(applyDocumentSteps(*from, { step })) != nullptr);
    }
}

TEST_CASE("a publication keeps its version when a peer receives it and writes it back to the store")
{
    const auto original = open(publication(4, example()));
    const auto received = openCanonicalDocument(original->text);
    REQUIRE(errorOf(received) == nullptr);
    CHECK(valueOf(received)->version == original->version);
    const auto repaired = openPublishedDocument("store", formatRepair(*valueOf(received)));
    REQUIRE(errorOf(repaired) == nullptr);
    CHECK(valueOf(repaired)->version == original->version);
}

TEST_CASE("a bare document without a generation gets generation 1 and no submission id")
{
    auto bare = example();
    bare.erase("generation");
    const auto original = open(bare);
    CHECK(original->version.generation == 1);
    CHECK(original->submissionId.empty());
}

TEST_CASE("text from a peer or the store that is not a document is an error")
{
    for (const char* text : { "", "[]", "{}", R"({"document":[]})", R"({"document":{"organisations":[1]}})", R"({"generation":1,"document":{"tiers":{"a":1}}})" })
        CHECK(errorOf(openCanonicalDocument(text)) != nullptr);
    for (const char* text : { "7", "[]", R"({"document":{}})", R"({"generation":0,"document":{}})", R"({"generation":1,"operator":1,"document":{}})" })
        CHECK(errorOf(openPublishedDocument("doc", text)) != nullptr);
}

// Run with "[measure]". Prints the sizes of the messages that carry document versions; asserts nothing.
TEST_CASE("sizes of messages about the document", "[.][measure]")
{
    const peer_identity self { "entry-bkk-a-017", "tcp://10.12.14.16:19000", ~0ULL };
    const document_version version { 123456, ~0ULL };
    std::cout << "message=document_request bytes=" << encodePeerMessage(document_request { self, version }).size() << "\n";
    std::cout << "message=document_difference_empty bytes=" << encodePeerMessage(document_difference { self, version, {} }).size() << "\n";
    std::cout << "message=document_difference_of_291 bytes=" << encodePeerMessage(document_difference { self, version, { { version, version, std::string(291, 'x') } } }).size() << "\n";
    report message;
    const auto sizeWithoutVersion = encodePeerMessage(message).size();
    message.generation = version.generation;
    message.documentHash = version.hash;
    std::cout << "message=report extra_bytes=" << encodePeerMessage(message).size() - sizeWithoutVersion + sizeof("documentHash") << "\n";
}

// Run with "[measure]". Prints sizes and times; asserts nothing about them.
TEST_CASE("sizes of documents and steps", "[.][measure]")
{
    for (const int organisations : { 10, 1000, 3100 }) {
        const auto base = largeDocument(organisations, 29);
        std::vector<submission> history;
        for (std::uint64_t generation = 1001; generation <= 1033; ++generation)
            history.push_back({ generation, "ama-12345678901234567890", "ama" });
        const auto published = [&](const json& contents, std::size_t first) {
            return open(json::parse(valueOf(composePublication(contents.dump(), { history.begin() + static_cast<std::ptrdiff_t>(first), history.begin() + static_cast<std::ptrdiff_t>(first) + 32 }))));
        };
        const auto from = published(base, 0);
        const auto print = [&](const char* change, const json& to) {
            std::cout << "organisations=" << organisations << " text_bytes=" << from->text.size() << " change=" << change << " step_bytes=" << makeDocumentStep(*from, *published(to, 1)).patch.size() << "\n";
        };
        auto changed = base;
        changed["organisations"][5]["limits"]["burst"] = 123;
        print("limit", changed);
        changed = base;
        changed["organisations"].erase(5);
        print("organisation_removed", changed);
        changed = base;
        changed["organisations"].push_back(base["organisations"][0]);
        changed["organisations"].back()["name"] = "another";
        changed["organisations"].back()["keys"] = json::array();
        print("organisation_added", changed);
        changed = base;
        changed["classes"][0]["targets"]["total_ms"] = 5;
        print("class_target", changed);
        const auto step = makeDocumentStep(*from, *published(changed, 1));
        const auto time = [&](const char* what, const std::function<void()>& task) {
            const auto begin = std::chrono::steady_clock::now();
            task();
            std::cout << "organisations=" << organisations << " operation=" << what << " milliseconds=" << std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count() << "\n";
        };
        time("open_published", [&] { openPublishedDocument("doc", publication(1, base).dump()); });
        time("apply_step", [&] { applyDocumentSteps(*from, { step }); });
        time("make_step", [&] { makeDocumentStep(*from, *from); });
    }
}
