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

start_attempt startStream(router_fixture& site, const std::string& path)
{
    site.start();
    site.request(1, path);
    const auto attempt = site.only<start_attempt>();
    site.step(answer_started { attempt.attemptNumber, router_fixture::answer(200, true, true) });
    return attempt;
}

} // namespace

TEST_CASE("an event is forwarded only when it is complete", "[router]")
{
    router_fixture site;
    const auto attempt = startStream(site, "/oneshot/x");
    site.step(answer_continued { attempt.attemptNumber, "id: 1\nda" });
    CHECK(site.all<start_reply>().empty());
    site.step(answer_continued { attempt.attemptNumber, "ta: x\n\nid: 2" });
    CHECK(site.all<start_reply>().size() == 1);
    CHECK(site.only<append_reply>().bytes == "id: 1\ndata: x\n\n");
    site.step(answer_continued { attempt.attemptNumber, "\ndata: y\n\n" });
    site.step(answer_ended { attempt.attemptNumber });
    CHECK(site.all<end_reply>().size() == 1);
}

TEST_CASE("a resumable stream that breaks continues at another upstream after the last complete event", "[router]")
{
    router_fixture site;
    const auto first = startStream(site, "/stream/x");
    site.step(answer_continued { first.attemptNumber, events(1, 3) + "id: 4\ndata: ha" });
    site.step(attempt_aborted { first.attemptNumber, true, "reset" });
    const auto second = site.only<start_attempt>();
    CHECK(second.upstreamId != first.upstreamId);
    CHECK(second.resumeAfter == 3);
    site.step(answer_started { second.attemptNumber, router_fixture::answer(200, true, true) });
    site.step(answer_continued { second.attemptNumber, events(3, 5) });
    CHECK(site.all<start_reply>().empty());
    CHECK(site.only<append_reply>().bytes == events(4, 5));
    site.step(answer_ended { second.attemptNumber });
    CHECK(site.all<end_reply>().size() == 1);
}

TEST_CASE("a partial first event is not joined to the stream of the next attempt", "[router]")
{
    router_fixture site;
    const auto first = startStream(site, "/stream/x");
    site.step(answer_continued { first.attemptNumber, "id: 1\nda" });
    site.step(attempt_aborted { first.attemptNumber, true, "reset" });
    const auto second = site.only<start_attempt>();
    site.step(answer_started { second.attemptNumber, router_fixture::answer(200, true, true) });
    site.step(answer_continued { second.attemptNumber, events(1, 2) });
    CHECK(site.only<append_reply>().bytes == events(1, 2));
}

TEST_CASE("a stream that breaks and can't be resumed is aborted", "[router]")
{
    router_fixture site;
    const auto attempt = startStream(site, "/oneshot/x");
    site.step(answer_continued { attempt.attemptNumber, events(1, 2) });
    site.step(attempt_aborted { attempt.attemptNumber, true, "reset" });
    CHECK(site.all<start_attempt>().empty());
    CHECK(site.all<end_reply>().empty());
    CHECK(site.all<abort_reply>().size() == 1);
}

TEST_CASE("a stream that ends in the middle of an event is aborted", "[router]")
{
    router_fixture site;
    const auto attempt = startStream(site, "/oneshot/x");
    site.step(answer_continued { attempt.attemptNumber, events(1, 2) + "id: 3\nda" });
    site.step(answer_ended { attempt.attemptNumber });
    CHECK(site.all<end_reply>().empty());
    CHECK(site.all<abort_reply>().size() == 1);
}

TEST_CASE("a stream that breaks before its first event and can't be repeated is answered with 502", "[router]")
{
    router_fixture site;
    const auto attempt = startStream(site, "/oneshot/x");
    site.step(attempt_aborted { attempt.attemptNumber, true, "reset" });
    CHECK(site.replyStatus() == 502);
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
        CHECK_FALSE(assembler.hasPartialEvent());
    }
}
