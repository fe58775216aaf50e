#include "tests/support/entry_fixture.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace kumquat;
using namespace std::chrono_literals;
using kumquat_test::entry_fixture;
using kumquat_test::headerFor;
using kumquat_test::offersIn;
using kumquat_test::only;

namespace {

// Entries whose upstreams crash whenever they run a request with the body "poison". Messages are delivered at once and in order.
struct crash_fleet {
    std::deque<entry_fixture> entries;
    int crashes = 0;
    int served = 0;
    int refused = 0;

    explicit crash_fleet(int count)
    {
        for (int index = 0; index < count; ++index) {
            auto& added = entries.emplace_back(6);
            std::vector<instance> listed;
            for (const auto& [id, upstream] : added.reducer.upstreams().all())
                listed.push_back({ .id = id, .role = "sidecar", .service = upstream.service, .address = upstream.address });
            for (int peer = 0; peer < count; ++peer)
                listed.push_back({ .id = peer == index ? "entry-a" : "entry-" + std::to_string(peer), .role = "entry", .address = std::to_string(peer) });
            added.step(instances_listed { listed });
        }
    }

    void apply(std::size_t entryIndex, const entry_effects& effects)
    {
        for (const auto& effect : effects) {
            if (const auto* notice = std::get_if<send_to_entry>(&effect))
                entries.at(std::stoul(notice->address)).receive(notice->message);
            if (std::holds_alternative<fail_answer>(effect))
                refused++;
            if (std::holds_alternative<finish_answer>(effect))
                served++;
            const auto* sent = std::get_if<send_to_sidecar>(&effect);
            const auto* request = sent ? std::get_if<offer>(&sent->message) : nullptr;
            if (request)
                run(entryIndex, *request, sent->address.substr(6));
        }
    }

    void run(std::size_t entryIndex, const offer& request, const std::string& sidecar)
    {
        const answer_header header { request.attempt, sidecar, request.sidecarIncarnation };
        if (request.job.body != "poison") {
            apply(entryIndex, entries.at(entryIndex).receive(offer_finished { .header = header }));
            return;
        }
        crashes++;
        apply(entryIndex, entries.at(entryIndex).receive(offer_failed { .header = header, .crashed = true }));
    }
};

} // namespace

TEST_CASE("a request that crashes upstreams crashes only two of the fleet when it is sent through several entries")
{
    crash_fleet fleet(3);
    for (std::size_t round = 0; round < 30; ++round) {
        const auto entryIndex = round % 3;
        auto& entry = fleet.entries.at(entryIndex);
        fleet.apply(entryIndex, entry.sendRequest("/v1/chat/completions", "poison"));
        fleet.apply(entryIndex, entry.sendRequest("/v1/chat/completions", "innocent"));
        for (std::size_t index = 0; index < 3; ++index) {
            for (int second = 0; second < 5; ++second) {
                fleet.apply(index, fleet.entries.at(index).advance(200ms));
                for (int upstream = 1; upstream <= 6; ++upstream)
                    fleet.entries.at(index).reportFrom("kasa-" + std::to_string(upstream), "kasa");
            }
        }
    }
    CHECK(fleet.crashes == 2);
    CHECK(fleet.served == 30);
    CHECK(fleet.refused == 30);
}

TEST_CASE("requests of a suspect fingerprint run one at a time, at the same upstream for all entries")
{
    entry_fixture left(6);
    entry_fixture right(6);
    const suspect_notice notice { {}, { { kumquat_test::fingerprintOf(left.sendRequest()), false, 60s } } };
    left.receive(notice);
    right.receive(notice);
    const auto first = left.sendRequest();
    REQUIRE(offersIn(first).size() == 1);
    CHECK(offersIn(first).at(0).suspect);
    CHECK(only<send_to_sidecar>(right.sendRequest()).at(0).address == only<send_to_sidecar>(first).at(0).address);
    CHECK(offersIn(left.sendRequest()).empty());
    left.receive(offer_finished { .header = headerFor(first) });
    CHECK(offersIn(left.advance(0ms)).size() == 1);
}

TEST_CASE("a harmless request that was running during a crash is answered and is then no longer suspect")
{
    entry_fixture fixture(3);
    fixture.receive(offer_failed { .header = headerFor(fixture.sendRequest()), .crashed = true });
    const auto retryEffects = fixture.advance(50ms);
    REQUIRE(offersIn(retryEffects).size() == 1);
    CHECK(offersIn(retryEffects).at(0).suspect);
    CHECK(only<finish_answer>(fixture.receive(offer_finished { .header = headerFor(retryEffects) })).size() == 1);
    CHECK_FALSE(offersIn(fixture.sendRequest()).at(0).suspect);
}

TEST_CASE("a fingerprint that a report names as refused fails as suspected with the remaining time")
{
    entry_fixture fixture(1);
    report message;
    message.from = { "kasa-1", "tcp://kasa-1", 70 };
    message.service = "kasa";
    message.refusedFingerprints = { kumquat_test::fingerprintOf(fixture.sendRequest()) };
    fixture.receive(message);
    const auto failed = only<fail_answer>(fixture.sendRequest());
    REQUIRE(failed.size() == 1);
    CHECK(failed.at(0).error.code == error_code::request_suspected);
    CHECK(failed.at(0).error.ran == ran_state::no);
    CHECK(failed.at(0).error.retryAfter == 60s);
}

TEST_CASE("a fact from a peer expires, and a suspicion does not replace a refusal")
{
    const instant now { 1h };
    suspect_registry registry({ .suspectTime = 60s, .refusalTime = 600s, .maxFacts = 2 });
    registry.merge(suspect_fact { 1, true, 30s }, now);
    registry.merge(suspect_fact { 1, false, 50s }, now);
    registry.recordCompletion(1);
    CHECK(registry.refusedFor(1, now + 20s) == 10s);
    CHECK_FALSE(registry.isSuspect(1, now + 30s));
    registry.merge(suspect_fact { 2, false, 10s }, now);
    registry.merge(suspect_fact { 3, false, 20s }, now);
    CHECK(registry.size() == 2);
    CHECK(registry.isSuspect(1, now));
}
