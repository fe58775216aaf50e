#include "tests/support/router_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

namespace {

upstream_record engineOf(const std::string& id, std::uint16_t port, const std::string& version)
{
    auto record = router_fixture::makeUpstream(id, "llm", port);
    record.version = version;
    return record;
}

// A router before two upstreams of v1 and two of v2.
struct two_versions : router_fixture {
    two_versions()
    {
        answerConfigList(sampleConfig(), 5);
        answerUpstreamList({ engineOf("a-1", 1001, "v1"), engineOf("a-2", 1002, "v1"), engineOf("b-1", 1003, "v2"), engineOf("b-2", 1004, "v2") }, 5);
    }

    start_attempt begin(caller_id caller = 1)
    {
        request(caller, "/stream/x");
        const auto attempt = only<start_attempt>();
        step(answer_started { attempt.attemptNumber, answer(200, true, true) });
        return attempt;
    }
};

std::string versionOf(const start_attempt& attempt)
{
    return attempt.upstreamId.starts_with("a-") ? "v1" : "v2";
}

const std::string firstEvent = "id: 1\ndata: x\n\n";

} // namespace

TEST_CASE("a stream goes on at the version whose event the caller received first", "[stream-version]")
{
    for (caller_id caller = 1; caller <= 20; ++caller) {
        two_versions fixture;
        const auto first = fixture.begin(caller);
        fixture.step(answer_continued { first.attemptNumber, firstEvent });
        fixture.step(attempt_aborted { first.attemptNumber, true, "reset" });
        const auto second = fixture.only<start_attempt>();
        CHECK(versionOf(second) == versionOf(first));
        CHECK(second.upstreamId != first.upstreamId);
    }
}

TEST_CASE("a stream without a whole event so far may go on at every version", "[stream-version]")
{
    two_versions fixture;
    fixture.answerUpstreamList({ engineOf("a-1", 1001, "v1"), engineOf("b-1", 1003, "v2") }, 6);
    const auto first = fixture.begin();
    fixture.step(answer_continued { first.attemptNumber, "id: 1\nda" });
    fixture.step(attempt_aborted { first.attemptNumber, true, "reset" });
    const auto second = fixture.only<start_attempt>();
    CHECK(versionOf(second) != versionOf(first));
    fixture.step(answer_started { second.attemptNumber, router_fixture::answer(200, true, true) });
    fixture.step(answer_continued { second.attemptNumber, firstEvent });
    CHECK(fixture.only<append_reply>().bytes == firstEvent);
}

// Guards against a stream that goes on after it began at an engine of which nobody knows which process it is.
TEST_CASE("a stream that began at an engine that has not stated its start goes on only if it has stated it after all", "[stream-version]")
{
    for (const bool isUnidentified : { false, true }) {
        two_versions fixture;
        fixture.request(1, "/stream/x");
        const auto first = fixture.only<start_attempt>();
        CHECK(first.requiredStartUnixMs == 1);
        CHECK(first.mayBeUnidentified);
        if (isUnidentified)
            fixture.step(upstream_unidentified { first.attemptNumber });
        fixture.step(answer_started { first.attemptNumber, router_fixture::answer(200, true, true) });
        fixture.step(answer_continued { first.attemptNumber, firstEvent });
        CHECK(fixture.only<append_reply>().bytes == firstEvent);
        fixture.step(attempt_aborted { first.attemptNumber, true, "reset" });
        CHECK(fixture.all<start_attempt>().size() == (isUnidentified ? 0 : 1));
        if (!isUnidentified)
            CHECK_FALSE(fixture.only<start_attempt>().mayBeUnidentified);
    }
}

TEST_CASE("a stream whose version has no other upstream ends as broken", "[stream-version]")
{
    router_fixture fixture;
    fixture.answerConfigList(router_fixture::sampleConfig(), 5);
    fixture.answerUpstreamList({ engineOf("a-1", 1001, "v1"), engineOf("b-1", 1003, "v2"), engineOf("c-1", 1004, "V1") }, 5);
    fixture.request(1, "/stream/x");
    const auto attempt = fixture.only<start_attempt>();
    fixture.step(answer_started { attempt.attemptNumber, router_fixture::answer(200, true, true) });
    fixture.step(answer_continued { attempt.attemptNumber, firstEvent });
    fixture.step(attempt_aborted { attempt.attemptNumber, true, "reset" });
    CHECK(fixture.all<start_attempt>().empty());
    CHECK(fixture.all<abort_reply>().size() == 1);
}

TEST_CASE("a record with another version is that of another process, also at the same start and address", "[stream-version]")
{
    upstream_table table;
    const instant now {};
    table.put(engineOf("a-1", 1001, "v1"), { 0, 5 }, now);
    const auto before = table.find("a-1");
    CHECK(table.put(engineOf("a-1", 1001, "v2"), { 0, 6 }, now) == table_change::restarted);
    CHECK(table.find("a-1")->versionKey != before->versionKey);
}

TEST_CASE("versions of two services differ, also if they are named alike", "[stream-version]")
{
    CHECK(hashVersion("llm", "v1") == hashVersion("llm", "v1"));
    CHECK(hashVersion("llm", "v1") != hashVersion("app", "v1"));
    CHECK(hashVersion("llm", "v1") != hashVersion("llm", "v1.0"));
    CHECK(hashVersion("a", "bc") != hashVersion("ab", "c"));
}
