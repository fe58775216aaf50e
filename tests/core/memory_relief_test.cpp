#include "core/connection_budget.h"
#include "core/memory_relief.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace kumquat {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // The share of the smallest instance's 88 MB.
    constexpr std::size_t memoryBytes = 22'000'000;
    constexpr std::size_t largestRead = 65536;
    constexpr std::uint32_t callerOwner = 0;
    constexpr std::uint32_t upstreamOwner = 1;

    const instant start {};

    bool contains(const std::vector<connection_key>& keys, const connection_key& key) { return std::find(keys.begin(), keys.end(), key) != keys.end(); }

    // Callers and upstreams that receive and release bytes at random, a few of them without end.
    class random_world {
    public:
        explicit random_world(unsigned seed)
            : m_draws(seed)
            , m_budget({ .memoryBytes = memoryBytes, .descriptors = 4100 })
        {
            for (std::uint64_t id = 0; id < connectionsOfSide; ++id) {
                add({ callerOwner, id }, connection_side::caller);
                add({ upstreamOwner, id }, connection_side::upstream);
            }
        }

        void step()
        {
            m_now += milliseconds(draw(20));
            const connection_key key { draw(1) == 0 ? callerOwner : upstreamOwner, draw(connectionsOfSide - 1) };
            auto& load = m_loads.at(key);
            // An eighth of the connections never release anything.
            if (key.id % 8 != 0 && draw(3) == 0)
                load.heldBytes = load.answerBytes = load.partialEventBytes = 0;
            else
                receive(key, load);
            load.requestInProgress = key.owner == upstreamOwner || draw(2) == 0;
            m_budget.update(key, load, m_now);
            relieve();
            CHECK(m_budget.heldBytes() < memoryBytes);
        }

    private:
        static constexpr std::uint64_t connectionsOfSide = 200;

        std::size_t draw(std::size_t largest) { return std::uniform_int_distribution<std::size_t>(0, largest)(m_draws); }

        void add(const connection_key& key, connection_side side)
        {
            m_budget.add(key, side, m_now);
            m_loads[key] = {};
        }

        void receive(const connection_key& key, connection_load& load)
        {
            if (key.owner == callerOwner) {
                const auto size = std::min(draw(largestRead), m_budget.maxReadBytes(load.heldBytes));
                load.heldBytes += size;
                load.transferredBytes += size;
                return;
            }
            const auto size = std::min(draw(largestRead), m_budget.maxAnswerReadBytes());
            load.heldBytes += size;
            load.answerBytes += size;
            if (key.id % 3 == 0)
                load.partialEventBytes += size;
        }

        std::size_t heldBytes(const connection_key& key) const { return m_loads.at(key).heldBytes; }

        void relieve()
        {
            const auto selected = m_budget.selectToClose(false, m_now);
            for (const auto& key : selected) {
                const auto before = m_budget.heldBytes();
                m_budget.remove(key);
                CHECK(m_budget.heldBytes() < before);
            }
            if (!selected.empty())
                checkFirst(selected.front());
            for (const auto& key : selected)
                add(key, key.owner == callerOwner ? connection_side::caller : connection_side::upstream);
        }

        // Whoever holds least is not ended first, unless all hold alike.
        void checkFirst(const connection_key& first) const
        {
            std::size_t least = heldBytes(first);
            std::size_t sum = 0;
            std::size_t count = 0;
            for (const auto& [key, load] : m_loads) {
                if (load.heldBytes == 0)
                    continue;
                least = std::min(least, load.heldBytes);
                sum += load.heldBytes;
                ++count;
            }
            CHECK((heldBytes(first) > least || heldBytes(first) * count == sum));
        }

        struct key_order {
            bool operator()(const connection_key& left, const connection_key& right) const { return std::tie(left.owner, left.id) < std::tie(right.owner, right.id); }
        };

        std::mt19937 m_draws;
        connection_budget m_budget;
        std::map<connection_key, connection_load, key_order> m_loads;
        instant m_now = start;
    };

} // namespace

TEST_CASE("the memory of all stays under the bound, and whoever holds least is never ended first", "[memory]")
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        random_world world(seed);
        for (int turn = 0; turn < 5000; ++turn)
            world.step();
    }
}

// Guards against a shortage by upstreams that closes the connections of all callers (review 6).
TEST_CASE("events without an end are ended before sound callers, which hold little", "[memory]")
{
    constexpr std::uint64_t callers = 110;
    constexpr std::uint64_t endless = 49;
    connection_budget budget({ .memoryBytes = memoryBytes, .descriptors = 4100 });
    const auto fill = [&](std::size_t answerBytes) {
        for (std::uint64_t id = 0; id < callers; ++id) {
            budget.add({ callerOwner, id }, connection_side::caller, start);
            budget.update({ callerOwner, id }, { .heldBytes = 700, .requestInProgress = true }, start);
        }
        for (std::uint64_t id = 0; id < callers; ++id) {
            const auto held = id < endless ? answerBytes : 500;
            budget.add({ upstreamOwner, id }, connection_side::upstream, start);
            budget.update({ upstreamOwner, id }, { .heldBytes = held, .requestInProgress = true, .answerBytes = held, .partialEventBytes = id < endless ? held : 0 }, start);
        }
    };
    SECTION("from the pressure on, no more of them than relieve it")
    {
        fill(memoryBytes / 5 * 4 / endless);
        const auto selected = budget.selectToClose(false, start + seconds(2));
        REQUIRE_FALSE(selected.empty());
        CHECK(selected.size() < endless);
    }
    SECTION("at the bound")
    {
        fill(memoryBytes / endless + 1);
        const auto selected = budget.selectToClose(false, start + seconds(2));
        REQUIRE_FALSE(selected.empty());
        CHECK(std::all_of(selected.begin(), selected.end(), [](const connection_key& key) { return key.owner == upstreamOwner && key.id < endless; }));
    }
}

TEST_CASE("a caller without a request in progress is ended before an answer that an upstream has made", "[memory]")
{
    connection_budget budget({ .memoryBytes = memoryBytes, .descriptors = 4100 });
    budget.add({ callerOwner, 1 }, connection_side::caller, start);
    budget.update({ callerOwner, 1 }, { .heldBytes = memoryBytes / 2 }, start);
    budget.add({ upstreamOwner, 1 }, connection_side::upstream, start);
    budget.update({ upstreamOwner, 1 }, { .heldBytes = memoryBytes / 2, .requestInProgress = true, .answerBytes = memoryBytes / 2 }, start);
    const auto selected = budget.selectToClose(false, start);
    REQUIRE(selected.size() == 1);
    CHECK(contains(selected, { callerOwner, 1 }));
}

TEST_CASE("an answer of the store is ended last", "[memory]")
{
    connection_budget budget({ .memoryBytes = memoryBytes, .descriptors = 4100 });
    budget.add({ 2, 1 }, connection_side::store, start);
    budget.update({ 2, 1 }, { .heldBytes = memoryBytes / 2, .requestInProgress = true, .answerBytes = memoryBytes / 2 }, start);
    budget.add({ callerOwner, 1 }, connection_side::caller, start);
    budget.update({ callerOwner, 1 }, { .heldBytes = memoryBytes / 2, .requestInProgress = true }, start);
    const auto selected = budget.selectToClose(false, start);
    REQUIRE(selected.size() == 1);
    CHECK(contains(selected, { callerOwner, 1 }));
}

} // namespace kumquat
