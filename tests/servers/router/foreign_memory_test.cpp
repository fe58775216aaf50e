#include "core/memory_shares.h"
#include "tests/support/router_fixture.h"

#include <catch2/catch.hpp>
#include <malloc.h>

// What callers and upstreams can make a router keep in its tables.

using namespace kumquat;
using namespace kumquat::router;

namespace {

constexpr std::size_t instanceBytes = 88'000'000;
// The tables of a router, beside the quarter of the memory that connections may hold and the code.
constexpr std::size_t tableBytes = instanceBytes / 4;
// A head of 16 kB holds about this many of the shortest parts.
constexpr std::uint64_t partsOfLargestHead = 4000;

std::size_t allocatedNow()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

class memory_fixture : public router_fixture {
public:
    memory_fixture()
        : router_fixture(smallInstance())
    {
        start();
        m_allocatedAtStart = allocatedNow();
    }

    static router_options smallInstance()
    {
        auto options = defaultOptions();
        options.settings.memoryBytes = instanceBytes;
        return options;
    }

    // A request in parts that no other request has, and the attempt that was started for it.
    attempt_number sendPrompt(caller_id caller, int tokensOfPart)
    {
        proxied_request item;
        item.requestId = "request-" + std::to_string(caller);
        item.method = "POST";
        item.target = item.path = "/oneshot/";
        item.host = "host";
        item.apiKey = "key-a";
        item.callerTimeout = seconds(10);
        for (std::uint64_t part = 0; part < partsOfLargestHead; ++part)
            item.prompt.parts.push_back({ caller * partsOfLargestHead + part, tokensOfPart });
        step(request_arrived { caller, std::make_shared<const proxied_request>(std::move(item)) });
        return only<start_attempt>().attemptNumber;
    }

    std::size_t growth() const { return allocatedNow() - std::min(allocatedNow(), m_allocatedAtStart); }

private:
    std::size_t m_allocatedAtStart = 0;
};

} // namespace

TEST_CASE("prompts in very many short parts do not fill the memory of a router", "[memory]")
{
    for (const int tokens : { 1, 0, -5 }) {
        INFO("parts of " << tokens << " tokens");
        memory_fixture fixture;
        for (caller_id caller = 1; caller <= 100; ++caller) {
            fixture.sendPrompt(caller, tokens);
            fixture.step(caller_left { caller });
        }
        CHECK(fixture.growth() < tableBytes);
    }
}

// Guards against a bound that makes placement worse: ordinary prompts are modelled as without it, on the smallest instance too.
TEST_CASE("the bound of modelled prompt parts changes nothing for ordinary prompts, with few or very many upstreams", "[memory]")
{
    constexpr std::int64_t capacityTokens = 438321;
    constexpr std::size_t noBound = 1'000'000'000;
    for (const std::size_t upstreams : { 9, 790 }) {
        INFO(upstreams << " upstreams");
        prompt_cache_model unbounded;
        prompt_cache_model bounded;
        const auto parts = shareOfUpstream(divideMemory(instanceBytes).promptCacheParts, upstreams, 1);
        for (std::uint64_t request = 0; request < 3000; ++request) {
            prompt_description prompt;
            prompt.parts = { { 1 + request % 3, 6000 }, { 10 + request % 7, 300 }, { 1000 + request, 2890 } };
            CHECK(bounded.uncachedPromptTokens(prompt) == unbounded.uncachedPromptTokens(prompt));
            unbounded.recordPrompt(prompt, { capacityTokens, noBound });
            bounded.recordPrompt(prompt, { capacityTokens, parts });
        }
        CHECK(bounded.partCount() == unbounded.partCount());
    }
}

TEST_CASE("when upstreams are added, the models of the others give up what goes beyond their share", "[memory]")
{
    memory_fixture fixture;
    for (caller_id caller = 1; caller <= 60; ++caller) {
        fixture.sendPrompt(caller, 1);
        fixture.step(caller_left { caller });
    }
    std::vector<upstream_record> records { router_fixture::makeUpstream("llm-1", "llm", 1001), router_fixture::makeUpstream("llm-2", "llm", 1002) };
    for (int number = 3; number <= 400; ++number)
        records.push_back(router_fixture::makeUpstream("llm-" + std::to_string(number), "llm", static_cast<std::uint16_t>(1000 + number)));
    store_changes<upstream_record> changes;
    changes.revision = 6;
    for (const auto& record : records)
        changes.entries.push_back({ record.id, 6, record });
    fixture.step(upstreams_read { fixture.upstreamRead, std::move(changes) });
    REQUIRE(fixture.reducer.upstreams().size() > 400);
    std::size_t parts = 0;
    for (const auto& upstream : fixture.reducer.upstreams().all())
        parts += upstream->promptCache.partCount();
    CHECK(parts <= divideMemory(instanceBytes).promptCacheParts);
}

TEST_CASE("what attempts with very many prompt parts leave as suspects when they break off does not fill the memory of a router", "[memory]")
{
    memory_fixture fixture;
    for (caller_id caller = 1; caller <= 400; ++caller) {
        const auto attempt = fixture.sendPrompt(caller, 1000);
        fixture.step(attempt_aborted { attempt, true, "connection reset" });
        fixture.now += milliseconds(10);
    }
    CHECK(fixture.growth() < tableBytes);
}

TEST_CASE("large error answers that are kept beside a retry do not fill the memory of a router", "[memory]")
{
    constexpr std::size_t bodyBytes = 900'000;
    constexpr caller_id callers = 60;
    memory_fixture fixture;
    for (caller_id caller = 1; caller <= callers; ++caller) {
        // Requests without trouble, which allow the retries.
        for (int sound = 0; sound < 10; ++sound) {
            fixture.request(1000 + caller, "/look/");
            const auto attempt = fixture.only<start_attempt>().attemptNumber;
            fixture.step(answer_started { attempt, fixture.answer(200) });
            fixture.step(answer_ended { attempt });
        }
        fixture.request(caller, "/look/");
        const auto attempt = fixture.only<start_attempt>().attemptNumber;
        fixture.step(answer_started { attempt, fixture.answer(500) });
        fixture.step(answer_continued { attempt, std::string(bodyBytes, 'x') });
        fixture.step(answer_ended { attempt });
        REQUIRE(fixture.all<start_attempt>().size() == 1);
    }
    CHECK(fixture.growth() < tableBytes);
}

TEST_CASE("an answer that is ended for want of memory is retried and does not count as a crash of its upstream", "[memory]")
{
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/look/");
    const auto first = fixture.only<start_attempt>();
    fixture.step(attempt_aborted { .attemptNumber = first.attemptNumber, .requestSent = true, .reason = "the memory is full", .endedAtMemoryBound = true });
    const auto second = fixture.only<start_attempt>();
    CHECK(second.upstreamId != first.upstreamId);
    CHECK(fixture.all<check_connection>().empty());
    CHECK(fixture.reducer.upstreams().find(first.upstreamId)->brokenAttempts.empty());
    CHECK_FALSE(fixture.reducer.upstreams().find(first.upstreamId)->crashedAt);
    SECTION("a request that may not be repeated ends as one that may have run")
    {
        fixture.request(2, "/pay/");
        const auto attempt = fixture.only<start_attempt>().attemptNumber;
        fixture.step(attempt_aborted { .attemptNumber = attempt, .requestSent = true, .reason = "the memory is full", .endedAtMemoryBound = true });
        CHECK(fixture.all<start_attempt>().empty());
        CHECK(fixture.only<refuse_reply>().refusal.ran == ran_state::unknown);
    }
}

// Guards against an account that loses what is kept of an event beside events that were passed on, or counts events that were dropped.
TEST_CASE("what a stream keeps of an incomplete event is stated after each part", "[memory]")
{
    router_fixture fixture;
    fixture.start();
    fixture.request(1, "/stream/");
    const auto attempt = fixture.only<start_attempt>().attemptNumber;
    fixture.step(answer_started { attempt, fixture.answer(200, true, true) });
    fixture.step(answer_continued { attempt, "id: 1\ndata" });
    CHECK(fixture.only<keep_partial_event>().bytes == 10);
    fixture.step(answer_continued { attempt, ": x\n\nid: 2" });
    CHECK(fixture.only<append_reply>().partialEventBytes == 5);
    fixture.step(answer_continued { attempt, "\n\nid: 3\n\n" });
    CHECK(fixture.only<append_reply>().partialEventBytes == 0);
    // Where the stream goes on, events that were passed on before are dropped.
    fixture.step(attempt_aborted { .attemptNumber = attempt, .requestSent = true, .reason = "reset" });
    const auto next = fixture.only<start_attempt>().attemptNumber;
    fixture.step(answer_started { next, fixture.answer(200, true, true) });
    fixture.step(answer_continued { next, "id: 1\n\n" });
    CHECK(fixture.only<keep_partial_event>().bytes == 0);
}

// Guards against a caller that hears nothing of its request, or is told not run of one that may have run.
TEST_CASE("a request that is ended for want of memory is answered by whether it may have run", "[memory]")
{
    router_fixture fixture;
    fixture.start();
    SECTION("it waits at an upstream")
    {
        fixture.request(1, "/pay/x");
        const auto attempt = fixture.only<start_attempt>().attemptNumber;
        fixture.step(caller_evicted { 1 });
        CHECK(fixture.only<cancel_attempt>().attemptNumber == attempt);
        CHECK(fixture.replyStatus() == 504);
        CHECK(fixture.only<refuse_reply>().refusal.ran == ran_state::unknown);
    }
    SECTION("it waits for the first reads of the store")
    {
        router_fixture starting;
        starting.request(1, "/pay/x");
        starting.step(caller_evicted { 1 });
        CHECK(starting.replyStatus() == 503);
        CHECK(starting.only<refuse_reply>().refusal.ran == ran_state::no);
        starting.start();
        CHECK(starting.all<start_attempt>().empty());
    }
    SECTION("a part of its answer has been sent")
    {
        fixture.request(1, "/stream/x");
        const auto attempt = fixture.only<start_attempt>().attemptNumber;
        fixture.step(answer_started { attempt, router_fixture::answer(200, true, true) });
        fixture.step(answer_continued { attempt, "id: 1\ndata: x\n\n" });
        fixture.step(caller_evicted { 1 });
        CHECK(fixture.all<refuse_reply>().empty());
    }
}
