#include "servers/config/document_publisher.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

// Fault that the simulated store applies to a conditional update.
enum class write_fault { none,
    // The update takes effect and its answer is lost.
    answer_lost,
    // The update is lost and never takes effect.
    write_lost,
    // The answer is lost, and the update takes effect only when applyDelayedWrites() is called.
    delayed };

// Simulates the store, the nodes and the publishers of several operators, in virtual time.
struct publication_fixture {
    stored_publication stored { .storeVersion = 5, .latest = { 5, "s5", "kofi" }, .history = { { 4, "s4", "ama" }, { 5, "s5", "kofi" } } };
    std::vector<node_version> nodes { { "entry-1", 5, "s5" }, { "entry-2", 5, "s5" } };
    bool readsFail = false;
    bool nodesAdopt = true;
    std::deque<write_fault> writeFaults;
    std::vector<write_publication> delayedWrites;
    std::size_t effectiveWrites = 0;
    instant now { 1h };

    bool apply(const write_publication& write)
    {
        if (write.expectedVersion != stored.storeVersion)
            return false;
        effectiveWrites++;
        stored.storeVersion++;
        stored.history = write.history;
        stored.latest = write.history.back();
        stored.lastRepairGeneration = write.lastRepairGeneration;
        if (nodesAdopt)
            propagate();
        return true;
    }

    void propagate()
    {
        for (auto& node : nodes) {
            if (stored.latest.generation > node.generation)
                node = { node.node, stored.latest.generation, stored.latest.id };
        }
    }

    void applyDelayedWrites()
    {
        for (const auto& write : delayedWrites)
            apply(write);
        delayedWrites.clear();
    }

    publisher_event answer(const write_publication& write)
    {
        const auto fault = writeFaults.empty() ? write_fault::none : writeFaults.front();
        if (!writeFaults.empty())
            writeFaults.pop_front();
        if (fault == write_fault::delayed)
            delayedWrites.push_back(write);
        if (fault == write_fault::answer_lost)
            apply(write);
        if (fault != write_fault::none)
            return publication_write_unanswered { "no answer" };
        if (apply(write))
            return publication_written {};
        return publication_refused {};
    }

    publisher_event answer(const read_publication&) const
    {
        if (readsFail)
            return publication_read_failed { "store is down" };
        return publication_read { stored };
    }

    publisher_event answer(const ask_nodes&) const { return nodes_answered { nodes, 0 }; }
    publisher_event answer(const publication_ended&) const { return publisher_timer_due {}; }

    // Publisher of one operator. advance() executes its next effect, or advances the time to its next deadline.
    struct operator_run {
        publication_fixture& fixture;
        document_publisher publisher;
        std::deque<publisher_effect> pendingEffects;
        std::optional<publication_outcome> outcome;

        operator_run(publication_fixture& fixture, const std::string& id, std::optional<std::uint64_t> base = std::nullopt)
            : fixture(fixture)
            , publisher({ .submissionId = id, .operatorName = "operator-" + id, .baseGeneration = base, .hasNodes = true })
        {
            step(publication_requested {});
        }

        void step(const publisher_event& event)
        {
            publisher_effects effects;
            publisher.step(event, fixture.now, effects);
            pendingEffects.insert(pendingEffects.end(), effects.begin(), effects.end());
        }

        void advance()
        {
            if (pendingEffects.empty()) {
                fixture.now = std::max(fixture.now, *publisher.nextDeadline());
                step(publisher_timer_due {});
                return;
            }
            const auto effect = pendingEffects.front();
            pendingEffects.pop_front();
            if (const auto* ended = std::get_if<publication_ended>(&effect)) {
                outcome = ended->outcome;
                return;
            }
            step(std::visit([this](const auto& concrete) { return fixture.answer(concrete); }, effect));
        }

        template <typename Effect>
        bool nextIs() const { return !pendingEffects.empty() && std::holds_alternative<Effect>(pendingEffects.front()); }

        publication_outcome finish()
        {
            while (!outcome)
                advance();
            return *outcome;
        }
    };
};

const publication_accepted* accepted(const publication_outcome& outcome) { return std::get_if<publication_accepted>(&outcome); }
const publication_conflict* conflict(const publication_outcome& outcome) { return std::get_if<publication_conflict>(&outcome); }
bool isUnknown(const publication_outcome& outcome) { return std::holds_alternative<publication_unknown>(outcome); }

} // namespace

TEST_CASE("a publication is accepted, and the publisher waits until it is in force on every node")
{
    publication_fixture fixture;
    const auto outcome = publication_fixture::operator_run(fixture, "a").finish();
    REQUIRE(accepted(outcome));
    CHECK(accepted(outcome)->generation == 6);
    CHECK(accepted(outcome)->nodesInForce == 2);
    CHECK(fixture.stored.history.size() == 3);
}

TEST_CASE("an accepted publication ends after a bounded time when no node adopts it")
{
    publication_fixture fixture;
    fixture.nodesAdopt = false;
    const auto outcome = publication_fixture::operator_run(fixture, "a").finish();
    REQUIRE(accepted(outcome));
    CHECK(accepted(outcome)->nodesInForce == 0);
    CHECK(accepted(outcome)->supersededOnNode.empty());
}

TEST_CASE("the slower of two concurrent publications ends with a conflict that names the faster operator")
{
    publication_fixture fixture;
    publication_fixture::operator_run slow(fixture, "slow");
    while (!slow.nextIs<write_publication>())
        slow.advance();
    REQUIRE(accepted(publication_fixture::operator_run(fixture, "fast").finish()));
    const auto outcome = slow.finish();
    REQUIRE(conflict(outcome));
    CHECK(conflict(outcome)->other.operatorName == "operator-fast");
    CHECK(conflict(outcome)->other.generation == 6);
    CHECK(fixture.effectiveWrites == 1);
}

TEST_CASE("a document based on an older generation ends with a conflict, and nothing is written")
{
    publication_fixture fixture;
    const auto outcome = publication_fixture::operator_run(fixture, "a", 4).finish();
    REQUIRE(conflict(outcome));
    CHECK(conflict(outcome)->other.operatorName == "kofi");
    CHECK(fixture.effectiveWrites == 0);
}

TEST_CASE("when the answer to a write is lost, the store is read again and the publication is accepted")
{
    publication_fixture fixture;
    fixture.writeFaults = { write_fault::answer_lost };
    SECTION("the publication is still the latest") { }
    SECTION("another publication is based on it")
    {
        publication_fixture::operator_run first(fixture, "a");
        while (!fixture.effectiveWrites)
            first.advance();
        REQUIRE(accepted(publication_fixture::operator_run(fixture, "b").finish()));
        CHECK(accepted(first.finish()));
        return;
    }
    CHECK(accepted(publication_fixture::operator_run(fixture, "a").finish()));
    CHECK(fixture.effectiveWrites == 1);
}

TEST_CASE("an unanswered write is repeated and takes effect once, even when the first one is delayed")
{
    publication_fixture fixture;
    SECTION("lost") { fixture.writeFaults = { write_fault::write_lost }; }
    SECTION("delayed") { fixture.writeFaults = { write_fault::delayed }; }
    CHECK(accepted(publication_fixture::operator_run(fixture, "a").finish()));
    fixture.applyDelayedWrites();
    CHECK(fixture.effectiveWrites == 1);
}

TEST_CASE("an unanswered write ends with a conflict once another publication on the same base has been accepted")
{
    publication_fixture fixture;
    fixture.writeFaults = { write_fault::delayed };
    publication_fixture::operator_run first(fixture, "a");
    while (fixture.delayedWrites.empty())
        first.advance();
    REQUIRE(accepted(publication_fixture::operator_run(fixture, "b").finish()));
    const auto outcome = first.finish();
    REQUIRE(conflict(outcome));
    CHECK(conflict(outcome)->other.operatorName == "operator-b");
    fixture.applyDelayedWrites();
    CHECK(fixture.stored.latest.id == "b");
}

TEST_CASE("the outcome is unknown when no write is answered and each may still take effect")
{
    publication_fixture fixture;
    fixture.writeFaults.assign(100, write_fault::delayed);
    CHECK(isUnknown(publication_fixture::operator_run(fixture, "a").finish()));
    fixture.applyDelayedWrites();
    CHECK(fixture.stored.latest.id == "a");
}

TEST_CASE("the outcome is unknown when the store goes down after the answer to a write was lost")
{
    publication_fixture fixture;
    fixture.writeFaults = { write_fault::answer_lost };
    publication_fixture::operator_run first(fixture, "a");
    while (!fixture.effectiveWrites)
        first.advance();
    fixture.readsFail = true;
    CHECK(isUnknown(first.finish()));
}

TEST_CASE("nothing is written when the store or all nodes cannot be read")
{
    publication_fixture fixture;
    SECTION("store") { fixture.readsFail = true; }
    SECTION("nodes") { fixture.nodes.clear(); }
    CHECK(std::holds_alternative<publication_not_sent>(publication_fixture::operator_run(fixture, "a").finish()));
    CHECK(fixture.effectiveWrites == 0);
}

TEST_CASE("a publication after the store was restored gets a generation above every one in force")
{
    publication_fixture fixture;
    fixture.nodes[1] = { "entry-2", 9, "s9" };
    SECTION("based on the generation in force")
    {
        const auto outcome = publication_fixture::operator_run(fixture, "a", 9).finish();
        REQUIRE(accepted(outcome));
        CHECK(accepted(outcome)->generation == 10);
    }
    SECTION("based on the restored generation")
    {
        const auto outcome = publication_fixture::operator_run(fixture, "a", 5).finish();
        REQUIRE(conflict(outcome));
        CHECK_THAT(conflict(outcome)->other.operatorName, Catch::Contains("entry-2"));
    }
}

TEST_CASE("a publication that took effect before the store was restored does not end with a conflict")
{
    publication_fixture fixture;
    fixture.writeFaults = { write_fault::answer_lost };
    publication_fixture::operator_run first(fixture, "a");
    const auto before = fixture.stored;
    while (!fixture.effectiveWrites)
        first.advance();
    const auto nodesBefore = fixture.nodes;
    fixture.stored = before;
    SECTION("another publisher has read the generation from the nodes and published")
    {
        REQUIRE(accepted(publication_fixture::operator_run(fixture, "b").finish()));
        CHECK(isUnknown(first.finish()));
    }
    SECTION("another document of the same generation has been written to the restored store")
    {
        fixture.stored.storeVersion += 2;
        fixture.stored.latest = { 6, "b", "b" };
        fixture.stored.history.push_back(fixture.stored.latest);
        CHECK(accepted(first.finish()));
    }
}

TEST_CASE("the outcome is unknown when the history does not contain the base")
{
    publication_fixture fixture;
    fixture.writeFaults = { write_fault::delayed };
    publication_fixture::operator_run run(fixture, "a");
    while (fixture.delayedWrites.empty())
        run.advance();
    // The store was restored to generation 4, and two publications followed.
    fixture.stored = { .storeVersion = 7, .latest = { 6, "y", "y" }, .history = { { 4, "s4", "ama" }, { 5, "x", "x" }, { 6, "y", "y" } } };
    CHECK(isUnknown(run.finish()));
}

TEST_CASE("the outcome is unknown when a repair of the store covers the generation of an unanswered write")
{
    publication_fixture fixture;
    fixture.writeFaults = { write_fault::answer_lost };
    publication_fixture::operator_run run(fixture, "a");
    const auto before = fixture.stored;
    while (!fixture.effectiveWrites)
        run.advance();
    // Another document of the same generation, which no node had reported, was written back over the publication.
    fixture.stored = before;
    fixture.stored.storeVersion = 9;
    fixture.stored.latest = { 6, "z", "z" };
    fixture.stored.history.push_back(fixture.stored.latest);
    fixture.stored.lastRepairGeneration = 6;
    for (auto& node : fixture.nodes)
        node = { node.node, 6, "z" };
    CHECK(isUnknown(run.finish()));
}

TEST_CASE("the outcome of an accepted publication names a node that has another document of its generation")
{
    publication_fixture fixture;
    fixture.nodesAdopt = false;
    publication_fixture::operator_run run(fixture, "a");
    while (!fixture.effectiveWrites)
        run.advance();
    fixture.nodes[0] = { "entry-1", 6, "other" };
    const auto outcome = run.finish();
    REQUIRE(accepted(outcome));
    CHECK(accepted(outcome)->supersededOnNode == "entry-1");
}

TEST_CASE("the history of submissions is bounded")
{
    publication_fixture fixture;
    for (int number = 0; number < 50; ++number)
        REQUIRE(accepted(publication_fixture::operator_run(fixture, "n" + std::to_string(number)).finish()));
    CHECK(fixture.stored.history.size() == 32);
    CHECK(fixture.stored.latest.generation == 55);
}
