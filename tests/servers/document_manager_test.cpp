#include "servers/config/watcher_election.h"

#include "tests/support/document_network.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace kumquat;
using namespace std::chrono_literals;
using kumquat_test::document_network;
using kumquat_test::namedDocument;

namespace {

// Maximum time until a publication is in force on every node.
constexpr auto propagationTimeout = 5s;

const std::vector<std::string> dataCentres { "east-legon", "tema", "spintex" };

// Three data centres with four entries and three sidecars each, and generation 1 in the store and in force.
struct fleet {
    document_network network;
    versioned_document_ptr first = namedDocument(1, "one", 11);

    fleet()
    {
        for (const auto& dataCentre : dataCentres) {
            for (const char* number : { "1", "2", "3", "4" })
                network.add("entry-" + dataCentre + "-" + number, dataCentre, true);
            for (const char* number : { "1", "2", "3" })
                network.add("sidecar-" + dataCentre + "-" + number, dataCentre, false);
        }
        network.store(first);
        network.announceInstances();
        network.run(propagationTimeout);
    }

    std::vector<std::string> watchersOf(const std::string& dataCentre)
    {
        std::vector<std::string> found;
        for (const auto& [id, item] : network.nodes()) {
            if (item->dataCentre == dataCentre && item->alive && item->watches)
                found.push_back(id);
        }
        return found;
    }

    versioned_document_ptr publish(std::uint64_t generation, const std::string& name, std::uint64_t hash)
    {
        auto document = namedDocument(generation, name, hash);
        network.store(document);
        return document;
    }

    void stop(const std::string& id)
    {
        network.at(id).alive = false;
        network.at(id).watches = false;
    }
};

} // namespace

TEST_CASE("a publication reaches every node through two watchers per data centre")
{
    fleet fixture;
    REQUIRE(fixture.network.inForceEverywhere(fixture.first->version));
    CHECK(fixture.network.watchers() == 2 * dataCentres.size());
    for (const auto& [id, item] : fixture.network.nodes())
        CHECK_FALSE((!item->isEntry && item->watches));
    const auto fullDocumentsBefore = fixture.network.at("sidecar-tema-1").fullDocumentsReceived;
    const auto second = fixture.publish(2, "two", 22);
    fixture.network.run(propagationTimeout);
    CHECK(fixture.network.inForceEverywhere(second->version));
    CHECK(fixture.network.neverReverted());
    // A node that is one step behind receives the step and not the full document.
    CHECK(fixture.network.at("sidecar-tema-1").fullDocumentsReceived == fullDocumentsBefore);
}

TEST_CASE("nodes ignore a store that was restored to an older version and write the newer document back")
{
    fleet fixture;
    const auto second = fixture.publish(2, "two", 22);
    fixture.network.run(propagationTimeout);
    fixture.network.store(fixture.first);
    fixture.network.run(propagationTimeout);
    CHECK(fixture.network.inForceEverywhere(second->version));
    CHECK(fixture.network.neverReverted());
    CHECK(fixture.network.storeDocument->version == second->version);
    CHECK(fixture.network.storeWrites == 1);
}

TEST_CASE("a node ignores a smaller version from every source")
{
    fleet fixture;
    const auto second = fixture.publish(2, "two", 22);
    fixture.network.run(propagationTimeout);
    const std::string id = "entry-tema-1";
    const peer_identity peer { "x", "tcp://x", 1 };
    fixture.network.step(id, document_loaded { fixture.first });
    fixture.network.step(id, full_document { peer, fixture.first->version, fixture.first->text });
    fixture.network.step(id, store_document_read { fixture.first, 1 });
    fixture.network.run(10ms);
    CHECK(fixture.network.at(id).manager.version() == second->version);
    CHECK(fixture.network.neverReverted());
}

TEST_CASE("a watcher pushes a publication to its data centre without waiting for polls")
{
    fleet fixture;
    const auto second = fixture.publish(2, "two", 22);
    // Shorter than the poll interval.
    fixture.network.run(100ms);
    for (const auto& [id, item] : fixture.network.nodes()) {
        INFO(id);
        CHECK((!item->isEntry || item->manager.version() == second->version));
    }
}

TEST_CASE("a node requests the document from a peer whose request contains a greater version")
{
    fleet fixture;
    fixture.network.add("sidecar-x", "tema", false);
    fixture.network.step("sidecar-x", document_request { { "entry-tema-1", document_network::addressOf("entry-tema-1"), 1 }, fixture.first->version });
    fixture.network.run(10ms);
    CHECK(fixture.network.at("sidecar-x").manager.version() == fixture.first->version);
}

TEST_CASE("a publication reaches every node although the store goes down after one watcher has read it")
{
    fleet fixture;
    const auto second = fixture.publish(2, "two", 22);
    // One watcher in one data centre reads the document before the outage.
    fixture.network.storeDown = true;
    fixture.network.step(fixture.watchersOf("tema").front(), store_document_read { second, fixture.network.storeVersion });
    fixture.network.run(propagationTimeout);
    CHECK(fixture.network.inForceEverywhere(second->version));
}

TEST_CASE("a node that starts while the store is down receives the document from a peer")
{
    fleet fixture;
    fixture.network.storeDown = true;
    SECTION("entry with a list of instances")
    {
        fixture.network.add("entry-tema-9", "tema", true);
        fixture.network.announceInstances();
    }
    SECTION("entry without a list of instances")
    {
        fixture.network.add("entry-tema-9", "tema", true, { document_network::addressOf("gone"), document_network::addressOf("entry-spintex-1") });
        // Its settings name two peers, of which one does not exist. Its links to all other nodes are cut.
        for (const auto& [id, item] : fixture.network.nodes())
            fixture.network.cutLinks.insert({ "entry-tema-9", id });
        fixture.network.cutLinks.erase({ "entry-tema-9", "entry-spintex-1" });
        fixture.network.step("entry-tema-9", document_peers_listed {});
    }
    SECTION("sidecar") { fixture.network.add("sidecar-tema-9", "tema", false); }
    fixture.network.run(propagationTimeout);
    CHECK(fixture.network.inForceEverywhere(fixture.first->version));
}

TEST_CASE("other entries become watchers when both watchers of a data centre fail and the list still names them")
{
    fleet fixture;
    const auto failedWatchers = fixture.watchersOf("tema");
    REQUIRE(failedWatchers.size() == 2);
    for (const auto& id : failedWatchers)
        fixture.stop(id);
    // The links to the other data centres are cut, so that the document cannot come from there.
    for (const auto& [left, leftNode] : fixture.network.nodes()) {
        for (const auto& [right, rightNode] : fixture.network.nodes()) {
            if (leftNode->dataCentre == "tema" && rightNode->dataCentre != "tema")
                fixture.network.cutLinks.insert({ left, right });
        }
    }
    const auto second = fixture.publish(2, "two", 22);
    fixture.network.run(propagationTimeout);
    CHECK(fixture.network.inForceEverywhere(second->version));
    CHECK(fixture.watchersOf("tema").size() == 2);
}

TEST_CASE("a data centre that cannot reach the store receives the document from the watchers of the others")
{
    fleet fixture;
    for (const auto& [id, item] : fixture.network.nodes())
        item->reachesStore = item->dataCentre != "tema";
    const auto second = fixture.publish(2, "two", 22);
    fixture.network.run(propagationTimeout);
    CHECK(fixture.network.inForceEverywhere(second->version));
}

TEST_CASE("an entry that can reach neither the store nor other entries receives the document through a sidecar")
{
    fleet fixture;
    const std::string isolated = "entry-tema-1";
    fixture.network.at(isolated).reachesStore = false;
    for (const auto& [id, item] : fixture.network.nodes()) {
        if (id != isolated && id != "sidecar-spintex-2")
            fixture.network.cutLinks.insert({ isolated, id });
    }
    const auto second = fixture.publish(2, "two", 22);
    fixture.network.run(propagationTimeout);
    CHECK(fixture.network.inForceEverywhere(second->version));
}

TEST_CASE("when two documents have one generation, every node ends with the same one")
{
    fleet fixture;
    // One data centre reads the first document before the store is restored and a second one is published.
    const auto left = fixture.publish(2, "left", 22);
    fixture.network.step("entry-tema-1", document_loaded { left });
    const auto right = fixture.publish(2, "right", 33);
    fixture.network.step("entry-spintex-1", document_loaded { right });
    fixture.network.run(propagationTimeout);
    CHECK(fixture.network.inForceEverywhere(right->version));
    CHECK(fixture.network.neverReverted());
    CHECK(fixture.network.storeDocument->version == right->version);
}

TEST_CASE("a node rejects a difference that does not yield the announced version and can still receive the document")
{
    fleet fixture;
    const auto second = namedDocument(2, "two", 22);
    fixture.network.step("sidecar-tema-1", document_difference { { "x", "tcp://x", 1 }, second->version, { { fixture.first->version, second->version, "garbage" } } });
    fixture.network.run(10ms);
    CHECK(fixture.network.at("sidecar-tema-1").manager.version() == fixture.first->version);
    fixture.network.store(second);
    fixture.network.run(propagationTimeout);
    CHECK(fixture.network.inForceEverywhere(second->version));
}

TEST_CASE("step_journal returns steps only while all of them are stored")
{
    step_journal journal(2, 1000);
    const auto step = [](std::uint64_t from) { return document_step { { from, from }, { from + 1, from + 1 }, "p" }; };
    for (std::uint64_t generation = 1; generation < 5; ++generation)
        journal.append(step(generation));
    CHECK(journal.between({ 3, 3 }, { 5, 5 })->size() == 2);
    CHECK_FALSE(journal.between({ 2, 2 }, { 5, 5 }));
    CHECK_FALSE(journal.between({ 3, 4 }, { 5, 5 }));
    journal.append({ { 9, 9 }, { 10, 10 }, "p" });
    CHECK_FALSE(journal.between({ 3, 3 }, { 5, 5 }));
    CHECK(journal.between({ 9, 9 }, { 10, 10 })->size() == 1);
}

TEST_CASE("a document that was never published is not written to the store")
{
    document_network network;
    network.add("entry-1", "tema", true);
    auto file = *namedDocument(7, "file", 77);
    file.submissionId.clear();
    network.step("entry-1", document_loaded { std::make_shared<const versioned_document>(file) });
    network.store(namedDocument(3, "stored", 33));
    network.step("entry-1", document_peers_listed {});
    network.run(propagationTimeout);
    CHECK(network.storeDocument->version.generation == 3);
    CHECK(network.at("entry-1").manager.version().generation == 7);
}

TEST_CASE("the election depends on neither the order of the list nor the node, and excludes suspected entries")
{
    std::vector<instance> entries;
    entries.reserve(50);
    for (int number = 0; number < 50; ++number)
        entries.push_back({ .id = "entry-" + std::to_string(number), .role = "entry", .dataCentre = number % 2 ? "tema" : "spintex" });
    const auto elected = electWatchers(entries, "tema", {}, 2);
    REQUIRE(elected.size() == 2);
    std::reverse(entries.begin(), entries.end());
    CHECK(electWatchers(entries, "tema", {}, 2).front().id == elected.front().id);
    const auto next = electWatchers(entries, "tema", { elected.front().id }, 2);
    CHECK(next.front().id == elected.back().id);
}
