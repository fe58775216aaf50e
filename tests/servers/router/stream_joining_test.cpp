#include "tests/support/router_fixture.h"

using namespace kumquat;
using namespace kumquat::router;

namespace {

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += "id: " + std::to_string(id) + "\ndata: x\n\n";
    return text;
}

upstream_answer streamHead(bool endsWithConnection)
{
    auto answer = router_fixture::answer(200, true, true);
    answer.head.endsWithConnection = endsWithConnection;
    return answer;
}

// A caller's stream that broke off after some events, at the next upstream.
struct broken_stream : router_fixture {
    explicit broken_stream(const std::string& delivered = events(1, 3))
    {
        start();
        request(1, "/stream/x");
        const auto first = only<start_attempt>().attemptNumber;
        step(answer_started { first, streamHead(false) });
        step(answer_continued { first, delivered });
        step(attempt_aborted { first, true, "reset" });
        if (!all<start_attempt>().empty())
            second = only<start_attempt>().attemptNumber;
    }

    // The whole answer of the next upstream. Returns all effects of it.
    router_effects answerSecond(const upstream_answer& answer, const std::string& body, bool ends = true)
    {
        router_effects seen = step(answer_started { second, answer });
        const auto add = [&] { seen.insert(seen.end(), effects.begin(), effects.end()); };
        if (!body.empty()) {
            step(answer_continued { second, body });
            add();
        }
        if (ends) {
            step(answer_ended { second });
            add();
        }
        return seen;
    }

    attempt_number second = 0;
};

std::string appended(const router_effects& effects)
{
    std::string bytes;
    for (const auto& part : router_fixture::all<append_reply>(effects))
        bytes += part.bytes;
    return bytes;
}

// The caller's stream was broken off, and nothing was added to it.
void checkBrokenOff(const router_effects& effects)
{
    CHECK(appended(effects).empty());
    CHECK(router_fixture::all<start_reply>(effects).empty());
    CHECK(router_fixture::all<send_reply>(effects).empty());
    CHECK(router_fixture::all<refuse_reply>(effects).empty());
    CHECK(router_fixture::all<end_reply>(effects).empty());
    CHECK(router_fixture::all<abort_reply>(effects).size() == 1);
}

} // namespace

// Guards against an error of the next upstream in the middle of a caller's stream, and against a stream that it ends as complete.
TEST_CASE("an error of the upstream at which a stream goes on does not reach its caller", "[router][stream]")
{
    const std::string body = "the next upstream failed\n\n";
    for (const int status : { 301, 400, 401, 404, 408, 409, 413, 421, 429, 500, 502, 503, 504 }) {
        for (const bool isStream : { false, true }) {
            for (const bool notRun : { false, true }) {
                CAPTURE(status, isStream, notRun);
                broken_stream fixture;
                auto answer = router_fixture::answer(status, !notRun, isStream);
                answer.notRun = notRun;
                answer.wrongUpstream = status == 421;
                checkBrokenOff(fixture.answerSecond(answer, body));
            }
        }
    }
}

// Guards against a success that is no event stream, or has no signature, in the middle of a caller's stream.
TEST_CASE("a success that is no stream of the upstream does not go on with a caller's stream", "[router][stream]")
{
    broken_stream plain;
    checkBrokenOff(plain.answerSecond(router_fixture::answer(200), events(4, 5)));
    broken_stream large;
    checkBrokenOff(large.answerSecond(router_fixture::answer(200), std::string(2 * 1024 * 1024, 'x'), false));
    broken_stream withoutSignature;
    checkBrokenOff(withoutSignature.answerSecond(router_fixture::answer(200, false, true), events(4, 5)));
}

// Guards against the end of a connection that is taken for the end of a stream of which it brought nothing.
TEST_CASE("a stream that goes on does not end as complete with a connection that brought no event", "[router][stream]")
{
    for (const auto* body : { "", ": alive\n\n" }) {
        CAPTURE(body);
        broken_stream fixture;
        checkBrokenOff(fixture.answerSecond(streamHead(true), body));
    }
}

// Guards against a lost end of a stream that no caller can ever get.
TEST_CASE("an upstream that ends the stream explicitly and has nothing to add completes it", "[router][stream]")
{
    for (const auto* body : { "", ": alive\n\n" }) {
        CAPTURE(body);
        broken_stream fixture;
        const auto seen = fixture.answerSecond(streamHead(false), body);
        CHECK(appended(seen).empty());
        CHECK(router_fixture::all<end_reply>(seen).size() == 1);
    }
    for (const bool endsWithConnection : { false, true }) {
        CAPTURE(endsWithConnection);
        broken_stream fixture;
        const auto seen = fixture.answerSecond(streamHead(endsWithConnection), events(2, 3));
        CHECK(appended(seen).empty());
        CHECK(router_fixture::all<end_reply>(seen).size() == 1);
    }
}

// Guards against a stream whose caller has its events and can never get its end.
TEST_CASE("a stream that its caller resumes after the last event ends with an explicit end alone", "[router][stream]")
{
    for (const bool endsWithConnection : { false, true }) {
        CAPTURE(endsWithConnection);
        broken_stream fixture;
        fixture.step(caller_left { 1 });
        proxied_request item;
        item.requestId = "request-2";
        item.resumedRequestId = "request-1";
        item.method = "POST";
        item.target = "/stream/x";
        item.path = item.target;
        item.host = "host";
        item.apiKey = "key-a";
        item.lastEventId = 3;
        fixture.step(request_arrived { 2, std::make_shared<const proxied_request>(std::move(item)) });
        const auto attempt = fixture.only<start_attempt>().attemptNumber;
        fixture.step(answer_started { attempt, streamHead(endsWithConnection) });
        fixture.step(answer_ended { attempt });
        CHECK(fixture.all<end_reply>().size() == (endsWithConnection ? 0 : 1));
        CHECK(fixture.all<start_reply>().size() == (endsWithConnection ? 0 : 1));
    }
}

// Guards against an upstream of another, shorter run whose end is taken for that of the caller's stream.
TEST_CASE("a stream does not end where its caller has later events already", "[router][stream]")
{
    broken_stream fixture;
    checkBrokenOff(fixture.answerSecond(streamHead(false), events(1, 2)));
}

// Guards against events that are missing where a stream goes on.
TEST_CASE("a stream does not go on behind a gap in ids that rose by one", "[router][stream]")
{
    for (const auto& body : { events(5, 6), events(2, 2) + events(5, 6) }) {
        CAPTURE(body);
        broken_stream fixture;
        checkBrokenOff(fixture.answerSecond(streamHead(false), body));
    }
    // Where ids rise in other steps, a gap can't be told.
    broken_stream uneven(events(1, 1) + events(4, 4));
    CHECK(appended(uneven.answerSecond(streamHead(false), events(9, 9))) == events(9, 9));
}

// Guards against an error event, or events of an unknown place, where a stream goes on.
TEST_CASE("a stream does not go on with an event without id", "[router][stream]")
{
    broken_stream fixture;
    checkBrokenOff(fixture.answerSecond(streamHead(false), "event: error\ndata: out of memory\n\n" + events(4, 5)));
    broken_stream later;
    const std::string tail = events(4, 4) + "data: [DONE]\n\n";
    CHECK(appended(later.answerSecond(streamHead(false), tail)) == tail);
}

// Guards against events that come twice because their place in the stream is unknown.
TEST_CASE("a stream whose last event has no id, or whose ids do not rise, is broken off and not resumed", "[router][stream]")
{
    for (const auto& delivered : { std::string("data: a\n\n"), events(1, 2) + "data: a\n\n", events(1, 3) + events(2, 2) }) {
        CAPTURE(delivered);
        broken_stream fixture(delivered);
        CHECK(fixture.second == 0);
        CHECK(fixture.all<abort_reply>().size() == 1);
    }
}

// Guards against events of an upstream that are dropped though no attempt has delivered them before.
TEST_CASE("the stream of a single attempt is passed on unchanged, whatever its ids", "[router][stream]")
{
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/oneshot/x");
    const auto attempt = fixture.only<start_attempt>().attemptNumber;
    fixture.step(answer_started { attempt, streamHead(false) });
    const auto body = events(0, 0) + events(0, 0) + "data: a\n\n: comment\n\n" + events(7, 7) + events(3, 3);
    fixture.step(answer_continued { attempt, body });
    CHECK(appended(fixture.effects) == body);
}
