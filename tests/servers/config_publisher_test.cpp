#include "servers/config/document_publisher.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

// Fault that the simulated store applies to a conditional update.
enum class fate { answered,
    // The update takes effect and its answer is lost.
    answer_lost,
    // The update is lost and never takes effect.
    write_lost,
    // The answer is lost, and the update takes effect only when release() is called.
    delayed };

// Simulates the store, the nodes and the publishers of several operators, in virtual time.
struct publishing {
    stored_publication stored { .storeVersion = 5, .latest = { 5, "s5", "kofi" }, .history = { { 4, "s4", "ama" }, { 5, "s5", "kofi" } } };
    std::vector<node_version> nodes { { "entry-1", 5, "s5" }, { "entry-2", 5, "s5" } };
    bool readsFail = false;
    bool nodesFollow = true;
    std::deque<fate> fates;
    std::vector<write_publication> waiting;
    std::size_t effective = 0;
    instant now { 1h };

    bool apply(const write_publication& write)
    {
        if (write.expectedVersion != stored.storeVersion)
            return false;
        effective++;
        stored.storeVersion++;
        stored.history = write.history;
        stored.latest = write.history.back();
        stored.lastRepair = write.lastRepair;
        if (nodesFollow)
            spread();
        return true;
    }

    void spread()
    {
        for (auto& node : nodes) {
            if (stored.latest.generation > node.generation)
                node = { node.node, stored.latest.generation, stored.latest.id };
        }
    }

    void release()
    {
        for (const auto& write : waiting)
            apply(write);
        waiting.clear();
    }

    publisher_event answer(const write_publication& write)
    {
        const auto next = fates.empty() ? fate::answered : fates.front();
        if (!fates.empty())
            fates.pop_front();
        if (next == fate::delayed)
            waiting.push_back(write);
        if (next == fate::answer_lost)
            apply(write);
        if (next != fate::answered)
            return publication_write_lost { "no answer" };
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
        publishing& world;
        document_publisher publisher;
        std::deque<publisher_effect> todo;
        std::optional<publication_outcome> outcome;

        operator_run(publishing& world, const std::string& id, std::optional<std::uint64_t> base = std::nullopt)
            : world(world)
            , publisher({ .submissionId = id, .operatorName = "operator-" + id, .baseGeneration = base, .hasNodes = true })
        {
            feed(publication_requested {});
        }

        void feed(const publisher_event& event)
        {
            publisher_effects effects;
            publisher.step(event, world.now, effects);
            todo.insert(todo.end(), effects.begin(), effects.end());
        }

        void advance()
        {
            if (todo.empty()) {
                world.now = std::max(world.now, *publisher.nextDeadline());
                feed(publisher_timer_due {});
                return;
            }
            const auto effect = todo.front();
            todo.pop_front();
            if (const auto* ended = std::get_if<publication_ended>(&effect)) {
                outcome = ended->outcome;
                return;
            }
            feed(std::visit([this](const auto& concrete) { return world.answer(concrete); }, effect));
        }

        template <typename Wanted>
        bool nextIs() const { return !todo.empty() && std::holds_alternative<Wanted>(todo.front()); }

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
    publishing world;
    const auto outcome = publishing::operator_run(world, "a").finish();
    REQUIRE(accepted(outcome));
    CHECK(accepted(outcome)->generation == 6);
    CHECK(accepted(outcome)->nodesInForce == 2);
    CHECK(world.stored.history.size() == 3);
}

TEST_CASE("an accepted publication ends after a bounded time when no node adopts it")
{
    publishing world;
    world.nodesFollow = false;
    const auto outcome = publishing::operator_run(world, "a").finish();
    REQUIRE(accepted(outcome));
    CHECK(accepted(outcome)->nodesInForce == 0);
    CHECK(accepted(outcome)->displacedOn.empty());
}

TEST_CASE("the slower of two concurrent publications ends with a conflict that names the faster operator")
{
    publishing world;
    publishing::operator_run slow(world, "slow");
    while (!slow.nextIs<write_publication>())
        slow.advance();
    REQUIRE(accepted(publishing::operator_run(world, "fast").finish()));
    const auto outcome = slow.finish();
    REQUIRE(conflict(outcome));
    CHECK(conflict(outcome)->other.operatorName == "operator-fast");
    CHECK(conflict(outcome)->other.generation == 6);
    CHECK(world.effective == 1);
}

TEST_CASE("a document based on an older generation ends with a conflict, and nothing is written")
{
    publishing world;
    const auto outcome = publishing::operator_run(world, "a", 4).finish();
    REQUIRE(conflict(outcome));
    CHECK(conflict(outcome)->other.operatorName == "kofi");
    CHECK(world.effective == 0);
}

TEST_CASE("when the answer to a write is lost, the store is read again and the publication is accepted")
{
    publishing world;
    world.fates = { fate::answer_lost };
    SECTION("the publication is still the latest") { }
    SECTION("another publication is based on it")
    {
        publishing::operator_run first(world, "a");
        while (!world.effective)
            first.advance();
        REQUIRE(accepted(publishing::operator_run(world, "b").finish()));
        CHECK(accepted(first.finish()));
        return;
    }
    CHECK(accepted(publishing::operator_run(world, "a").finish()));
    CHECK(world.effective == 1);
}

TEST_CASE("an unanswered write is repeated and takes effect once, even when the first one is delayed")
{
    publishing world;
    SECTION("lost") { world.fates = { fate::write_lost }; }
    SECTION("delayed") { world.fates = { fate::delayed }; }
    CHECK(accepted(publishing::operator_run(world, "a").finish()));
    world.release();
    CHECK(world.effective == 1);
}

TEST_CASE("an unanswered write ends with a conflict once another publication on the same base has been accepted")
{
    publishing world;
    world.fates = { fate::delayed };
    publishing::operator_run first(world, "a");
    while (world.waiting.empty())
        first.advance();
    REQUIRE(accepted(publishing::operator_run(world, "b").finish()));
    const auto outcome = first.finish();
    REQUIRE(conflict(outcome));
    CHECK(conflict(outcome)->other.operatorName == "operator-b");
    world.release();
    CHECK(world.stored.latest.id == "b");
}

TEST_CASE("the outcome is unknown when no write is answered and each may still take effect")
{
    publishing world;
    world.fates.assign(100, fate::delayed);
    CHECK(isUnknown(publishing::operator_run(world, "a").finish()));
    world.release();
    CHECK(world.stored.latest.id == "a");
}

TEST_CASE("the outcome is unknown when the store goes down after the answer to a write was lost")
{
    publishing world;
    world.fates = { fate::answer_lost };
    publishing::operator_run first(world, "a");
    while (!world.effective)
        first.advance();
    world.readsFail = true;
    CHECK(isUnknown(first.finish()));
}

TEST_CASE("nothing is written when the store or all nodes cannot be read")
{
    publishing world;
    SECTION("store") { world.readsFail = true; }
    SECTION("nodes") { world.nodes.clear(); }
    CHECK(std::holds_alternative<publication_not_sent>(publishing::operator_run(world, "a").finish()));
    CHECK(world.effective == 0);
}

TEST_CASE("a publication after the store was restored gets a generation above every one in force")
{
    publishing world;
    world.nodes[1] = { "entry-2", 9, "s9" };
    SECTION("based on the generation in force")
    {
        const auto outcome = publishing::operator_run(world, "a", 9).finish();
        REQUIRE(accepted(outcome));
        CHECK(accepted(outcome)->generation == 10);
    }
    SECTION("based on the restored generation")
    {
        const auto outcome = publishing::operator_run(world, "a", 5).finish();
        REQUIRE(conflict(outcome));
        CHECK_THAT(conflict(outcome)->other.operatorName, Catch::Contains("entry-2"));
    }
}

TEST_CASE("a publication that took effect before the store was restored does not end with a conflict")
{
    publishing world;
    world.fates = { fate::answer_lost };
    publishing::operator_run first(world, "a");
    const auto before = world.stored;
    while (!world.effective)
        first.advance();
    const auto nodesBefore = world.nodes;
    world.stored = before;
    SECTION("another publisher has read the generation from the nodes and published")
    {
        REQUIRE(accepted(publishing::operator_run(world, "b").finish()));
        CHECK(isUnknown(first.finish()));
    }
    SECTION("another document of the same generation has been written to the restored store")
    {
        world.stored.storeVersion += 2;
        world.stored.latest = { 6, "b", "b" };
        world.stored.history.push_back(world.stored.latest);
        CHECK(accepted(first.finish()));
    }
}

TEST_CASE("the outcome is unknown when the history does not contain the base")
{
    publishing world;
    world.fates = { fate::delayed };
    publishing::operator_run run(world, "a");
    while (world.waiting.empty())
        run.advance();
    // The store was restored to generation 4, and two publications followed.
    world.stored = { .storeVersion = 7, .latest = { 6, "y", "y" }, .history = { { 4, "s4", "ama" }, { 5, "x", "x" }, { 6, "y", "y" } } };
    CHECK(isUnknown(run.finish()));
}

TEST_CASE("the outcome is unknown when a repair of the store covers the generation of an unanswered write")
{
    publishing world;
    world.fates = { fate::answer_lost };
    publishing::operator_run run(world, "a");
    const auto before = world.stored;
    while (!world.effective)
        run.advance();
    // Another document of the same generation, which no node had reported, was written back over the publication.
    world.stored = before;
    world.stored.storeVersion = 9;
    world.stored.latest = { 6, "z", "z" };
    world.stored.history.push_back(world.stored.latest);
    world.stored.lastRepair = 6;
    for (auto& node : world.nodes)
        node = { node.node, 6, "z" };
    CHECK(isUnknown(run.finish()));
}

TEST_CASE("the outcome of an accepted publication names a node that has another document of its generation")
{
    publishing world;
    world.nodesFollow = false;
    publishing::operator_run run(world, "a");
    while (!world.effective)
        run.advance();
    world.nodes[0] = { "entry-1", 6, "other" };
    const auto outcome = run.finish();
    REQUIRE(accepted(outcome));
    CHECK(accepted(outcome)->displacedOn == "entry-1");
}

TEST_CASE("the history of submissions is bounded")
{
    publishing world;
    for (int number = 0; number < 50; ++number)
        REQUIRE(accepted(publishing::operator_run(world, "n" + std::to_string(number)).finish()));
    CHECK(world.stored.history.size() == 32);
    CHECK(world.stored.latest.generation == 55);
}
