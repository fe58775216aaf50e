#include "tests/support/draws.h"
#include "tests/support/rate_limit_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

// What upstreams that leave see of routers that have missed a change of the records in a silence of the store.

namespace {

// After the store has answered all routers for this time, they are in touch with it.
constexpr auto contactTime = milliseconds(3000);
// A router in touch sends nothing to an upstream that has been leaving or gone for this time.
constexpr auto drainTime = milliseconds(2000);
constexpr auto answerTime = milliseconds(20);
constexpr int upstreamCount = 5;
// A draw in which the watches of all of 370 routers go into a silence.
constexpr unsigned seedOfMissedChange = 3;

// Routers with steady callers, before upstreams that leave one after the other.
class draining_fleet {
public:
    draining_fleet(unsigned seed, std::size_t routers)
        : m_random(seed)
        , m_fleet(seed)
    {
        m_fleet.recordsSent = false;
        m_fleet.records.clear();
        for (int number = 0; number < upstreamCount; ++number)
            m_fleet.records.push_back(makeRecord(number));
        m_fleet.isStoreSilent = [this](std::size_t) { return m_isSilent; };
        m_fleet.onEffect = [this](std::size_t router, const router_effect& effect) { observe(router, effect); };
        for (std::size_t number = 0; number < routers; ++number)
            m_fleet.add("dc-" + std::to_string(number % 4));
        m_fleet.run(seconds(4));
        serve(seconds(1));
    }

    // One to three silences in series, each right after a change of a record. Then an upstream leaves.
    void playSilences()
    {
        for (auto silences = 1 + m_random() % 3; silences > 0; --silences) {
            m_fleet.putRecord(makeRecord(++m_newest));
            serve(milliseconds(m_random() % 100));
            m_isSilent = true;
            serve(milliseconds(500 + m_random() % 7500));
            m_isSilent = false;
        }
        serve(contactTime);
        leave(makeRecord(m_newest - 1), m_random() % 2 == 0);
        serve(drainTime + seconds(3));
    }

    int lateArrivals() const { return m_lateArrivals; }
    int answered() const { return m_answered; }

private:
    struct running_attempt {
        std::size_t router = 0;
        attempt_number number = 0;
        instant endsAt;
    };

    static upstream_record makeRecord(int number) { return router_fixture::makeUpstream("app-" + std::to_string(number), "app", static_cast<std::uint16_t>(1000 + number)); }

    void leave(upstream_record record, bool isRemoved)
    {
        m_leftAt[record.id] = m_fleet.now();
        record.leaving = true;
        if (isRemoved)
            m_fleet.removeRecord(record.id);
        else
            m_fleet.putRecord(record);
    }

    void observe(std::size_t router, const router_effect& effect)
    {
        const auto* attempt = std::get_if<start_attempt>(&effect);
        if (!attempt)
            return;
        m_running.push_back({ router, attempt->attemptNumber, m_fleet.now() + answerTime });
        const auto left = m_leftAt.find(attempt->upstreamId);
        m_lateArrivals += left != m_leftAt.end() && m_fleet.now() > left->second + drainTime ? 1 : 0;
    }

    void serve(duration elapsed)
    {
        const auto requestInterval = std::max<duration>(milliseconds(10), milliseconds(3000) / static_cast<int>(m_fleet.size()));
        for (const auto end = m_fleet.now() + elapsed; m_fleet.now() < end;) {
            m_fleet.run(std::min<duration>(requestInterval, end - m_fleet.now()));
            answerDue();
            m_fleet.request(m_random() % m_fleet.size(), "/look/x");
        }
    }

    void answerDue()
    {
        std::vector<running_attempt> due;
        std::copy_if(m_running.begin(), m_running.end(), std::back_inserter(due), [this](const running_attempt& item) { return item.endsAt <= m_fleet.now(); });
        std::erase_if(m_running, [this](const running_attempt& item) { return item.endsAt <= m_fleet.now(); });
        for (const auto& item : due) {
            m_fleet.post(item.router, answer_started { item.number, router_fixture::answer(200) });
            m_fleet.post(item.router, answer_ended { item.number });
            ++m_answered;
        }
    }

    std::mt19937_64 m_random;
    fleet_fixture m_fleet;
    bool m_isSilent = false;
    int m_newest = upstreamCount - 1;
    std::map<std::string, instant> m_leftAt;
    std::vector<running_attempt> m_running;
    int m_lateArrivals = 0;
    int m_answered = 0;
};

// Guards against requests that reach an upstream which left longer ago than the drain time (DRAIN).
void checkSeed(std::size_t routers, unsigned seed)
{
    draining_fleet fleet(seed, routers);
    fleet.playSilences();
    INFO("seed " << seed);
    CHECK(fleet.lateArrivals() == 0);
    CHECK(fleet.answered() > 0);
}

void checkSeeds(std::size_t routers, unsigned seeds)
{
    for (unsigned seed = 1; seed <= playedDraws(seedCount(seeds)); ++seed)
        checkSeed(routers, seed);
}

} // namespace

TEST_CASE("an upstream that leaves after silences of the store gets no late request", "[lost-watch]")
{
    SECTION("1 router") { checkSeeds(1, 30); }
    SECTION("4 routers") { checkSeeds(4, 30); }
    SECTION("30 routers") { checkSeeds(30, 10); }
}

TEST_CASE("an upstream that leaves after silences of the store gets no late request from 370 routers", "[lost-watch][slow]")
{
    checkSeed(370, seedOfMissedChange);
}
