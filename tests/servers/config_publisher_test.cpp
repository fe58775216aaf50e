#include "servers/config/document_publisher.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

// What becomes of a conditional update.
enum class fate { answered,
    // It takes effect and its answer is lost.
    answer_lost,
    // It is lost on the way.
    write_lost,
    // Its answer is lost and it takes effect when release() is called.
    delayed };

// The store, the nodes and the publishers of several operators, in virtual time.
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
        stored.lastRepairGeneration = write.lastRepairGeneration;
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

    // Runs one effect of the publisher, or lets time pass to its deadline. Returns the outcome at the end.
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

TEST_CASE("publication is accepted and followed until every node has it in force")
{
    publishing world;
    const auto outcome = publishing::operator_run(world, "a").finish();
    REQUIRE(accepted(outcome));
    CHECK(accepted(outcome)->generation == 6);
    CHECK(accepted(outcome)->nodesInForce == 2);
    CHECK(world.stored.history.size() == 3);
}

TEST_CASE("acceptance does not wait for ever for nodes that do not follow")
{
    publishing world;
    world.nodesFollow = false;
    const auto outcome = publishing::operator_run(world, "a").finish();
    REQUIRE(accepted(outcome));
    CHECK(accepted(outcome)->nodesInForce == 0);
    CHECK(accepted(outcome)->displacedOn.empty());
}

TEST_CASE("the slower of two racing operators gets a conflict that names the faster")
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

TEST_CASE("a document made from an older generation conflicts before anything is written")
{
    publishing world;
    const auto outcome = publishing::operator_run(world, "a", 4).finish();
    REQUIRE(conflict(outcome));
    CHECK(conflict(outcome)->other.operatorName == "kofi");
    CHECK(world.effective == 0);
}

TEST_CASE("a lost answer to a publication is resolved by reading back")
{
    publishing world;
    world.fates = { fate::answer_lost };
    SECTION("and the publication is still the latest") { }
    SECTION("and another has been built on it")
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

TEST_CASE("a lost write is repeated and takes effect once, even when the first arrives late")
{
    publishing world;
    SECTION("lost for good") { world.fates = { fate::write_lost }; }
    SECTION("late") { world.fates = { fate::delayed }; }
    CHECK(accepted(publishing::operator_run(world, "a").finish()));
    world.release();
    CHECK(world.effective == 1);
}

TEST_CASE("not accepted is said after a lost answer only when the version has moved past")
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

TEST_CASE("the outcome is unknown while a lost write may still take effect")
{
    publishing world;
    world.fates.assign(100, fate::delayed);
    CHECK(isUnknown(publishing::operator_run(world, "a").finish()));
    world.release();
    CHECK(world.stored.latest.id == "a");
}

TEST_CASE("the outcome is unknown when the store goes down behind a lost answer")
{
    publishing world;
    world.fates = { fate::answer_lost };
    publishing::operator_run first(world, "a");
    while (!world.effective)
        first.advance();
    world.readsFail = true;
    CHECK(isUnknown(first.finish()));
}

TEST_CASE("nothing is sent while the store or all nodes cannot be read")
{
    publishing world;
    SECTION("store") { world.readsFail = true; }
    SECTION("nodes") { world.nodes.clear(); }
    CHECK(std::holds_alternative<publication_not_sent>(publishing::operator_run(world, "a").finish()));
    CHECK(world.effective == 0);
}

TEST_CASE("a publication after a restore gets a generation above every one in force")
{
    publishing world;
    world.nodes[1] = { "entry-2", 9, "s9" };
    SECTION("from the generation in force")
    {
        const auto outcome = publishing::operator_run(world, "a", 9).finish();
        REQUIRE(accepted(outcome));
        CHECK(accepted(outcome)->generation == 10);
    }
    SECTION("from the restored one")
    {
        const auto outcome = publishing::operator_run(world, "a", 5).finish();
        REQUIRE(conflict(outcome));
        CHECK_THAT(conflict(outcome)->other.operatorName, Catch::Contains("entry-2"));
    }
}

TEST_CASE("a publication that took effect before a restore is not called refused")
{
    publishing world;
    world.fates = { fate::answer_lost };
    publishing::operator_run first(world, "a");
    const auto before = world.stored;
    while (!world.effective)
        first.advance();
    const auto nodesBefore = world.nodes;
    world.stored = before;
    SECTION("and a publisher that saw the nodes wrote on")
    {
        REQUIRE(accepted(publishing::operator_run(world, "b").finish()));
        CHECK(isUnknown(first.finish()));
    }
    SECTION("and somebody wrote the same generation anew")
    {
        world.stored.storeVersion += 2;
        world.stored.latest = { 6, "b", "b" };
        world.stored.history.push_back(world.stored.latest);
        CHECK(accepted(first.finish()));
    }
}

TEST_CASE("a history that does not contain the base proves nothing")
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

TEST_CASE("a repair of the store hides whether a lost write took effect")
{
    publishing world;
    world.fates = { fate::answer_lost };
    publishing::operator_run run(world, "a");
    const auto before = world.stored;
    while (!world.effective)
        run.advance();
    // Another document of the generation, which no node had told of, was written back over the publication.
    world.stored = before;
    world.stored.storeVersion = 9;
    world.stored.latest = { 6, "z", "z" };
    world.stored.history.push_back(world.stored.latest);
    world.stored.lastRepairGeneration = 6;
    for (auto& node : world.nodes)
        node = { node.node, 6, "z" };
    CHECK(isUnknown(run.finish()));
}

TEST_CASE("acceptance tells of a node that has another document of the generation")
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
