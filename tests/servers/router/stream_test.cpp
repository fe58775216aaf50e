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

start_attempt startStream(router_fixture& fixture, const std::string& path)
{
    fixture.start();
    fixture.request(1, path);
    const auto attempt = fixture.only<start_attempt>();
    fixture.step(answer_started { attempt.attemptNumber, router_fixture::answer(200, true, true) });
    return attempt;
}

} // namespace

TEST_CASE("an event is forwarded only when it is complete", "[router]")
{
    router_fixture fixture;
    const auto attempt = startStream(fixture, "/oneshot/x");
    fixture.step(answer_continued { attempt.attemptNumber, "id: 1\nda" });
    CHECK(fixture.all<start_reply>().empty());
    fixture.step(answer_continued { attempt.attemptNumber, "ta: x\n\nid: 2" });
    CHECK(fixture.all<start_reply>().size() == 1);
    CHECK(fixture.only<append_reply>().bytes == "id: 1\ndata: x\n\n");
    fixture.step(answer_continued { attempt.attemptNumber, "\ndata: y\n\n" });
    fixture.step(answer_ended { attempt.attemptNumber });
    CHECK(fixture.all<end_reply>().size() == 1);
}

TEST_CASE("a resumable stream that breaks continues at another upstream after the last complete event", "[router]")
{
    router_fixture fixture;
    const auto first = startStream(fixture, "/stream/x");
    fixture.step(answer_continued { first.attemptNumber, events(1, 3) + "id: 4\ndata: ha" });
    fixture.step(attempt_aborted { first.attemptNumber, true, "reset" });
    const auto second = fixture.only<start_attempt>();
    CHECK(second.upstreamId != first.upstreamId);
    CHECK(second.resumeAfter == 3);
    fixture.step(answer_started { second.attemptNumber, router_fixture::answer(200, true, true) });
    fixture.step(answer_continued { second.attemptNumber, events(3, 5) });
    CHECK(fixture.all<start_reply>().empty());
    CHECK(fixture.only<append_reply>().bytes == events(4, 5));
    fixture.step(answer_ended { second.attemptNumber });
    CHECK(fixture.all<end_reply>().size() == 1);
}

TEST_CASE("a partial first event is not joined to the stream of the next attempt", "[router]")
{
    router_fixture fixture;
    const auto first = startStream(fixture, "/stream/x");
    fixture.step(answer_continued { first.attemptNumber, "id: 1\nda" });
    fixture.step(attempt_aborted { first.attemptNumber, true, "reset" });
    const auto second = fixture.only<start_attempt>();
    fixture.step(answer_started { second.attemptNumber, router_fixture::answer(200, true, true) });
    fixture.step(answer_continued { second.attemptNumber, events(1, 2) });
    CHECK(fixture.only<append_reply>().bytes == events(1, 2));
}

TEST_CASE("a stream that breaks and can't be resumed is aborted", "[router]")
{
    router_fixture fixture;
    const auto attempt = startStream(fixture, "/oneshot/x");
    fixture.step(answer_continued { attempt.attemptNumber, events(1, 2) });
    fixture.step(attempt_aborted { attempt.attemptNumber, true, "reset" });
    CHECK(fixture.all<start_attempt>().empty());
    CHECK(fixture.all<end_reply>().empty());
    CHECK(fixture.all<abort_reply>().size() == 1);
}

TEST_CASE("a stream that ends in the middle of an event is aborted", "[router]")
{
    router_fixture fixture;
    const auto attempt = startStream(fixture, "/oneshot/x");
    fixture.step(answer_continued { attempt.attemptNumber, events(1, 2) + "id: 3\nda" });
    fixture.step(answer_ended { attempt.attemptNumber });
    CHECK(fixture.all<end_reply>().empty());
    CHECK(fixture.all<abort_reply>().size() == 1);
}

TEST_CASE("a stream that breaks before its first event and can't be repeated is answered with 502", "[router]")
{
    router_fixture fixture;
    const auto attempt = startStream(fixture, "/oneshot/x");
    fixture.step(attempt_aborted { attempt.attemptNumber, true, "reset" });
    CHECK(fixture.replyStatus() == 502);
}

TEST_CASE("events are found for every split of the bytes, also with CRLF line ends", "[router]")
{
    const auto text = events(1, 3) + "id: 4\r\ndata: z\r\n\r\n";
    for (std::size_t size = 1; size < 12; ++size) {
        stream_assembler assembler;
        std::string completeEvents;
        for (std::size_t offset = 0; offset < text.size(); offset += size)
            completeEvents += assembler.feed(std::string_view(text).substr(offset, size));
        CHECK(completeEvents == text);
        CHECK(assembler.lastId() == 4);
        CHECK(assembler.partialEventBytes() == 0);
    }
}

TEST_CASE("a stream without a length that ends with its connection after a whole event is complete", "[router]")
{
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/oneshot/x");
    const auto number = fixture.only<start_attempt>().attemptNumber;
    auto answer = router_fixture::answer(200, true, true);
    answer.head.endsWithConnection = true;
    fixture.step(answer_started { number, answer });
    fixture.step(answer_continued { number, events(1, 2) });
    fixture.step(answer_ended { number });
    CHECK(fixture.all<end_reply>().size() == 1);
}

TEST_CASE("a stream without a length that ends inside an event was broken off, and its upstream may have crashed", "[router]")
{
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/stream/x");
    const auto first = fixture.only<start_attempt>();
    auto answer = router_fixture::answer(200, true, true);
    answer.head.endsWithConnection = true;
    fixture.step(answer_started { first.attemptNumber, answer });
    fixture.step(answer_continued { first.attemptNumber, events(1, 2) + "id: 3\nda" });
    fixture.step(answer_ended { first.attemptNumber });
    CHECK(fixture.all<end_reply>().empty());
    CHECK(fixture.only<start_attempt>().resumeAfter == 2);
    const auto check = fixture.only<check_connection>();
    CHECK(formatEndpoint(check.target) == formatEndpoint(first.target));
    fixture.step(connection_checked { check.check, connection_outcome::refused });
    CHECK(fixture.hasLog("upstream_crashed"));
}

// Guards against an event stream that was broken off and is passed on as whole, since its route is not of the streaming kind.
TEST_CASE("an event stream without a length on any route is broken off if it ends inside an event", "[router]")
{
    auto answer = router_fixture::answer(200, true, true);
    answer.head.endsWithConnection = true;
    const auto whole = events(1, 2);
    for (std::size_t size = 0; size <= whole.size(); ++size) {
        CAPTURE(size);
        const bool isWhole = size == 0 || whole.substr(0, size).ends_with("\n\n");
        router_fixture fixture;
        fixture.start();
        fixture.request(1, "/pay/x");
        const auto number = fixture.only<start_attempt>().attemptNumber;
        fixture.step(answer_started { number, answer });
        for (std::size_t offset = 0; offset < size; ++offset)
            fixture.step(answer_continued { number, whole.substr(offset, 1) });
        fixture.step(answer_ended { number });
        CHECK(fixture.replyStatus() == (isWhole ? 200 : 502));
    }
    SECTION("a repeatable request is sent to another upstream")
    {
        router_fixture fixture;
        fixture.start();
        fixture.request(1, "/look/x");
        const auto first = fixture.only<start_attempt>();
        fixture.step(answer_started { first.attemptNumber, answer });
        fixture.step(answer_continued { first.attemptNumber, events(1, 2) + "id: 3\r\nda" });
        fixture.step(answer_ended { first.attemptNumber });
        CHECK(fixture.only<start_attempt>().upstreamId != first.upstreamId);
    }
    SECTION("one that is passed on as it arrives is cut off")
    {
        router_fixture fixture;
        fixture.start();
        fixture.request(1, "/pay/x");
        const auto number = fixture.only<start_attempt>().attemptNumber;
        fixture.step(answer_started { number, answer });
        fixture.step(answer_continued { number, "data: " + std::string(2 * 1024 * 1024, 'x') });
        CHECK(fixture.all<start_reply>().size() == 1);
        fixture.step(answer_ended { number });
        CHECK(fixture.all<end_reply>().empty());
        CHECK(fixture.all<abort_reply>().size() == 1);
    }
}

TEST_CASE("a stream without a length that ends before its first event is not answered with success", "[router]")
{
    router_fixture fixture;
    const auto attempt = startStream(fixture, "/oneshot/x");
    fixture.step(answer_ended { attempt.attemptNumber });
    CHECK(fixture.replyStatus() == 502);
    CHECK(fixture.all<check_connection>().size() == 1);
}

TEST_CASE("a stream that sends bytes without the end of an event is given up, and its connection closed", "[router]")
{
    router_fixture fixture;
    const auto attempt = startStream(fixture, "/oneshot/x");
    std::size_t sent = 0;
    while (fixture.all<cancel_attempt>().empty() && sent < 4 * 1024 * 1024) {
        fixture.step(answer_continued { attempt.attemptNumber, std::string(64 * 1024, 'x') });
        sent += 64 * 1024;
    }
    CHECK(sent <= 1024 * 1024 + 64 * 1024);
    CHECK(fixture.only<cancel_attempt>().attemptNumber == attempt.attemptNumber);
    CHECK(fixture.replyStatus() == 502);
}

// Guards against a sound answer that is replaced by a failure because it has no events.
TEST_CASE("a HEAD request on a streaming route gets the head of its answer", "[router][stream]")
{
    router_fixture fixture;
    fixture.start();
    proxied_request item;
    item.requestId = "request-1";
    item.method = "HEAD";
    item.target = "/oneshot/x";
    item.path = item.target;
    item.host = "host";
    item.apiKey = "key-a";
    fixture.step(request_arrived { 1, std::make_shared<const proxied_request>(std::move(item)) });
    const auto attempt = fixture.only<start_attempt>();
    fixture.step(answer_started { attempt.attemptNumber, router_fixture::answer(200, true, true) });
    fixture.step(answer_ended { attempt.attemptNumber });
    CHECK(fixture.replyStatus() == 200);
    CHECK(fixture.all<check_connection>().empty());
}
