#include "tests/support/claim_site.h"

#include <catch2/catch.hpp>
#include <random>

using namespace kumquat;
using namespace std::chrono_literals;
using kumquat_test::claim_site;
using kumquat_test::store_fault;

namespace {

const stored_answer pass { .contentType = "application/json", .text = "{\"pass\":1}" };

} // namespace

TEST_CASE("a claim is granted only after its segment has been written to the object API")
{
    claim_site site(1);
    const auto id = site.requestClaim(0, "osu/k1");
    CHECK(site.grantCount() == 0);
    site.execute(0);
    CHECK(site.grantCount() == 0);
    site.execute(0);
    CHECK(site.isGranted(0, id));
}

TEST_CASE("claims that arrive during a write are committed together in the next segment")
{
    claim_site site(1);
    site.requestClaim(0, "osu/k0");
    site.execute(0);
    for (int number = 1; number <= 50; ++number)
        site.requestClaim(0, "osu/k" + std::to_string(number));
    site.run(100ms);
    CHECK(site.grantCount() == 51);
    CHECK(site.writeCount() == 2);
}

TEST_CASE("520 claims a second cause at most 320 writes a second")
{
    constexpr int keysPerStep = 26;
    constexpr int steps = 200;
    claim_site site(1, { .shards = 8, .commitInterval = 25ms });
    std::size_t finishedCount = 0;
    for (int step = 0; step < steps; ++step) {
        for (int number = 0; number < keysPerStep; ++number)
            site.requestClaim(0, "osu/k" + std::to_string(step * keysPerStep + number));
        site.run(50ms);
        const auto granted = site.effectsOf<claim_granted>(0);
        for (; finishedCount < granted.size(); ++finishedCount)
            site.step(0, claimed_request_finished { granted[finishedCount].requestId, pass });
    }
    site.run(200ms);
    CHECK(site.grantCount() == steps * keysPerStep);
    CHECK(site.effectsOf<claim_denied>(0).empty());
    CHECK(site.at(0).reducer->unstoredAnswerCount() == 0);
    const auto writesPerSecond = site.writeCount() / 10;
    CAPTURE(site.writeCount());
    CHECK(writesPerSecond <= 320);
}

TEST_CASE("when two entries claim one key at the same time, exactly one request is granted")
{
    claim_site site(2);
    const auto first = site.requestClaim(0, "osu/k1");
    const auto second = site.requestClaim(1, "osu/k1");
    site.run(500ms);
    CHECK(site.grantCount() == 1);
    CHECK(site.denialOf(site.isGranted(0, first) ? 1 : 0, site.isGranted(0, first) ? second : first) == "in_progress ran unknown");
}

TEST_CASE("a repeat gets the stored answer from any entry, and another fingerprint gets key_reused")
{
    claim_site site(2);
    const auto first = site.requestClaim(0, "osu/k1");
    site.run(100ms);
    site.step(0, claimed_request_finished { first, pass });
    site.run(100ms);
    CHECK(site.at(0).reducer->unstoredAnswerCount() == 0);
    site.requestClaim(0, "osu/k1");
    site.requestClaim(1, "osu/k1");
    const auto other = site.requestClaim(1, "osu/k1", 2);
    site.run(200ms);
    CHECK(site.grantCount() == 1);
    for (int index : { 0, 1 }) {
        REQUIRE(site.effectsOf<claim_answered>(index).size() == 1);
        CHECK(site.effectsOf<claim_answered>(index)[0].answer.text == pass.text);
    }
    CHECK(site.denialOf(1, other) == "key_reused ran no");
}

TEST_CASE("when the response to a write is lost, the segment is read back and the claim is granted")
{
    claim_site site(1);
    const auto id = site.requestClaim(0, "osu/k1");
    site.execute(0);
    const bool tookEffect = GENERATE(true, false);
    site.execute(0, tookEffect ? store_fault::lose_response : store_fault::lose_call);
    CHECK_FALSE(site.isGranted(0, id));
    site.run(200ms);
    CHECK(site.isGranted(0, id));
    CHECK(site.writeCount() == (tookEffect ? 1U : 2U));
}

TEST_CASE("while the object API is down a request is denied at once with ran no, and claims are granted again afterwards")
{
    claim_site site(1);
    const auto first = site.requestClaim(0, "osu/k1");
    site.execute(0, store_fault::lose_call);
    CHECK(site.denialOf(0, first) == "claim_unavailable ran no");
    const auto second = site.requestClaim(0, "osu/k1");
    CHECK(site.denialOf(0, second) == "claim_unavailable ran no");
    site.run(300ms);
    const auto third = site.requestClaim(0, "osu/k1");
    site.run(100ms);
    CHECK(site.isGranted(0, third));
    CHECK(site.grantCount() == 1);
}

TEST_CASE("a claim that is written after its request was denied is never granted and does not block the key")
{
    claim_site site(2);
    const auto first = site.requestClaim(0, "osu/k1");
    site.execute(0);
    site.now += 1001ms;
    site.step(0, claim_timer_due {});
    CHECK(site.denialOf(0, first) == "claim_unavailable ran no");
    const int repeatEntry = GENERATE(0, 1);
    site.execute(0, store_fault::lose_response);
    const auto second = site.requestClaim(repeatEntry, "osu/k1", 2);
    site.run(500ms);
    CHECK_FALSE(site.isGranted(0, first));
    CHECK(site.isGranted(repeatEntry, second));
}

TEST_CASE("a write response after the claim's deadline grants nothing, even before the timer event")
{
    claim_site site(1);
    const auto id = site.requestClaim(0, "osu/k1");
    site.execute(0);
    site.now += 1001ms;
    site.execute(0);
    CHECK_FALSE(site.isGranted(0, id));
    CHECK(site.denialOf(0, id) == "claim_unavailable ran no");
}

TEST_CASE("a delayed write that takes the segment number of a second entry's claim does not prevent its grant")
{
    claim_site site(2);
    const auto first = site.requestClaim(0, "osu/k1");
    site.execute(0);
    site.execute(0, store_fault::delay_effect);
    site.execute(0, store_fault::lose_call);
    CHECK(site.denialOf(0, first) == "claim_unavailable ran no");
    const auto second = site.requestClaim(1, "osu/k1");
    site.execute(1);
    site.applyDelayedWrites();
    site.run(500ms);
    CHECK(site.isGranted(1, second));
    CHECK(site.grantCount() == 1);
}

TEST_CASE("when the claimant was replaced or is unreachable, the sidecars are queried, and without a reply the outcome is unknown")
{
    claim_site site(2);
    const auto first = site.requestClaim(0, "osu/k1");
    site.run(100ms);
    REQUIRE(site.isGranted(0, first));
    const bool isReplaced = GENERATE(true, false);
    if (isReplaced)
        site.start(0, 2);
    site.at(0).reachable = isReplaced;
    const auto second = site.requestClaim(1, "osu/k1");
    site.run(1s);
    REQUIRE(site.effectsOf<query_sidecars>(1).size() == 1);
    CHECK(site.effectsOf<query_sidecars>(1)[0].query.requestId == first);
    CHECK(site.denialOf(1, second) == "outcome_unknown ran unknown");
    site.requestClaim(1, "osu/k1");
    for (int tries = 0; tries < 100 && site.effectsOf<query_sidecars>(1).size() < 2; ++tries)
        site.run(10ms);
    site.step(1, claim_message_received { claim_status { first, claim_state::finished, pass } });
    site.run(100ms);
    REQUIRE(site.effectsOf<claim_answered>(1).size() == 1);
    // The answer is stored in the object API now, so the sidecars are not queried again.
    site.start(1, 2);
    site.requestClaim(1, "osu/k1");
    site.run(100ms);
    CHECK(site.effectsOf<claim_answered>(1).size() == 1);
    CHECK(site.effectsOf<query_sidecars>(1).empty());
}

TEST_CASE("a granted request that did not run releases its key, and one that may have run does not")
{
    claim_site site(1);
    const auto first = site.requestClaim(0, "osu/k1");
    site.run(100ms);
    const bool mayHaveRun = GENERATE(true, false);
    site.step(0, claimed_request_failed { first, mayHaveRun });
    site.run(100ms);
    const auto second = site.requestClaim(0, "osu/k1");
    site.run(500ms);
    CHECK(site.isGranted(0, second) == !mayHaveRun);
    if (mayHaveRun)
        CHECK(site.denialOf(0, second) == "outcome_unknown ran unknown");
}

TEST_CASE("an answer above the size limit is not stored, and a repeat gets answer_not_kept with ran yes")
{
    claim_site site(1, { .shards = 1, .answerLimitBytes = 4 });
    const auto first = site.requestClaim(0, "osu/k1");
    site.run(100ms);
    site.step(0, claimed_request_finished { first, pass });
    site.run(100ms);
    const auto second = site.requestClaim(0, "osu/k1");
    site.run(100ms);
    CHECK(site.denialOf(0, second) == "answer_not_kept ran yes");
}

TEST_CASE("keys and segments are removed after the retention, and segment numbers continue")
{
    claim_site site(1, { .shards = 1, .retention = 1min });
    for (int number = 0; number < 20; ++number) {
        site.requestClaim(0, "osu/k" + std::to_string(number));
        site.run(50ms);
    }
    CHECK(site.segmentCount() == 20);
    site.run(61s);
    CHECK(site.at(0).reducer->keyCount() == 0);
    for (int number = 0; number < 20; ++number) {
        site.requestClaim(0, "osu/k" + std::to_string(number));
        site.run(50ms);
    }
    CHECK(site.grantCount() == 40);
    CHECK(site.segmentCount() <= 21);
}

TEST_CASE("an entry that was suspended for longer than the retention lists the journal again before it writes")
{
    claim_site site(2, { .shards = 1, .retention = 1min });
    site.requestClaim(1, "osu/k0");
    site.run(50ms);
    site.now += 50s;
    site.requestClaim(0, "osu/k1");
    site.run(100ms);
    site.now += 30s;
    site.requestClaim(0, "osu/k2");
    site.run(100ms);
    // Entry 1 read the journal 80 s ago; the segment number that it would use next has been taken by the claim of k1.
    site.requestClaim(1, "osu/k1");
    site.run(500ms);
    CHECK(site.grantCount() == 3);
}

TEST_CASE("a key is granted to one request at a time under random lost and delayed calls of the object API")
{
    std::mt19937_64 random(GENERATE(range(1, 41)));
    const auto draw = [&](int limit) { return static_cast<int>(random() % static_cast<unsigned>(limit)); };
    claim_site site(3);
    std::map<std::string, std::string> holders;
    std::map<int, std::size_t> grantsSeen;
    std::uint64_t incarnation = 1;
    std::size_t grants = 0;
    for (int round = 0; round < 400; ++round) {
        const int index = draw(3);
        if (draw(3) == 0)
            site.requestClaim(index, "osu/k" + std::to_string(draw(3)));
        while (!site.at(index).calls.empty() && draw(4) > 0)
            site.execute(index, static_cast<store_fault>(std::max(0, draw(7) - 3)));
        if (draw(10) == 0)
            site.applyDelayedWrites();
        if (draw(40) == 0) {
            site.start(index, ++incarnation);
            grantsSeen[index] = 0;
        }
        site.now += std::chrono::milliseconds(draw(100));
        site.step(index, claim_timer_due {});
        for (int entry = 0; entry < 3; ++entry) {
            const auto granted = site.effectsOf<claim_granted>(entry);
            for (; grantsSeen[entry] < granted.size(); ++grantsSeen[entry]) {
                const auto& id = granted[grantsSeen[entry]].requestId;
                CHECK(site.denialOf(entry, id).empty());
                grants++;
                // Half of the requests may have run and keep their key claimed for the rest of the test.
                const auto key = site.keyOf(id);
                CHECK_FALSE(holders.contains(key));
                if (draw(2) == 0)
                    holders[key] = id;
                else
                    site.step(entry, claimed_request_failed { id, false });
            }
        }
    }
    CHECK(grants > 0);
}

TEST_CASE("keys that are too long or contain characters other than printable ASCII are denied")
{
    claim_site site(1);
    CHECK(site.denialOf(0, site.requestClaim(0, std::string(256, 'k'))) == "malformed_request ran no");
    CHECK(site.denialOf(0, site.requestClaim(0, "osu/k\xc3\xa9")) == "malformed_request ran no");
    CHECK(site.at(0).calls.empty());
}

TEST_CASE("a commit of answers that consist of control characters stays below the maximum object size")
{
    constexpr std::size_t maxObjectBytes = 1 << 20;
    constexpr std::size_t escapeBytes = 6;
    claim_site site(1);
    const std::string text(16 << 10, '\x01');
    std::vector<std::string> ids;
    ids.reserve(20);
    for (int number = 0; number < 20; ++number)
        ids.push_back(site.requestClaim(0, "osu/k" + std::to_string(number)));
    site.run(100ms);
    for (const auto& id : ids)
        site.step(0, claimed_request_finished { id, { .text = text } });
    site.run(1s);
    CHECK(site.at(0).reducer->unstoredAnswerCount() == 0);
    for (const auto& call : site.effectsOf<claim_store_call>(0)) {
        const auto* write = std::get_if<write_claim_segment>(&call);
        if (!write)
            continue;
        std::size_t textBytes = 0;
        for (const auto& record : write->contents.records) {
            if (const auto* finished = std::get_if<claim_finished>(&record))
                textBytes += escapeBytes * finished->answer.text.size();
        }
        CHECK(textBytes < maxObjectBytes);
    }
}
