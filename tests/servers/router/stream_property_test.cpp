#include "drivers/asio/client_connection.h"
#include "drivers/asio/server_connection.h"
#include "drivers/json/error_body.h"
#include "platform/answer_codec.h"
#include "tests/support/draws.h"
#include "tests/support/router_fixture.h"
#include "tests/support/stream_scripts.h"

#include <charconv>

using namespace kumquat;
using namespace kumquat::router;

namespace {

constexpr int upstreamCount = 6;

// The reference: all upstreams serve the same stream of numbered events. What a caller gets in one answer is a prefix of it, in order and
// each event once, and its end is marked as complete only if the stream was whole. A caller that gets no stream gets one complete error.

// What a caller read, byte by byte.
struct caller_view {
    int status = 0;
    std::string body;
    bool isComplete = false;
    bool isMalformed = false;
};

// Reads an answer without the parser of the router: one head, then chunks or a length.
caller_view readAnswer(const std::string& bytes)
{
    caller_view view;
    const auto headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return view;
    view.status = std::stoi(bytes.substr(9, 3));
    const auto head = bytes.substr(0, headEnd + 2);
    auto position = headEnd + 4;
    const auto length = head.find("Content-Length: ");
    if (length != std::string::npos) {
        const auto size = static_cast<std::size_t>(std::stoi(head.substr(length + 16)));
        view.body = bytes.substr(position, size);
        view.isComplete = view.body.size() == size;
        view.isMalformed = bytes.size() - position > size;
        return view;
    }
    while (true) {
        const auto lineEnd = bytes.find("\r\n", position);
        if (lineEnd == std::string::npos)
            return view;
        std::size_t size = 0;
        const auto* sizeEnd = bytes.data() + lineEnd;
        const auto read = std::from_chars(bytes.data() + position, sizeEnd, size, 16);
        if (read.ec != std::errc() || read.ptr != sizeEnd) {
            view.isMalformed = true;
            return view;
        }
        position = lineEnd + 2;
        if (size == 0) {
            view.isComplete = bytes.compare(position, 2, "\r\n") == 0;
            view.isMalformed = bytes.size() > position + 2;
            return view;
        }
        view.body += bytes.substr(position, size);
        if (bytes.size() < position + size + 2)
            return view;
        view.isMalformed = view.isMalformed || bytes.compare(position + size, 2, "\r\n") != 0;
        position += size + 2;
    }
}

struct play_outcome {
    caller_view caller;
    int attempts = 0;
    int length = 0;
    // Some attempt declared the end of the stream.
    bool endDeclared = false;
    bool callerLeft = false;
};

// An attempt in progress, with the bytes that its upstream still writes.
struct playing_attempt {
    attempt_number number = 0;
    client_connection connection;
    script rest;
    std::size_t position = 0;
};

// One request at a router, with the bytes of the upstreams' connections and of the caller's.
class stream_play {
public:
    explicit stream_play(unsigned seed)
        : m_random(seed)
        , m_fixture(options())
        , m_caller(m_fixture.now)
    {
        m_outcome.length = 1 + static_cast<int>(m_random() % 9);
        auto config = router_fixture::sampleConfig();
        config.addRoute(router_fixture::makeRoute("/long/", "llm", [](route& item) { item.streaming = true; item.resumable = true; item.maxAttempts = 4; item.usesPromptCache = true; item.timeout = seconds(10); }));
        m_fixture.answerConfigList(config, 5);
        std::vector<upstream_record> records;
        for (int number = 1; number <= upstreamCount; ++number)
            records.push_back(router_fixture::makeUpstream("llm-" + std::to_string(number), "llm", static_cast<std::uint16_t>(1000 + number)));
        m_fixture.answerUpstreamList(records, 5);
    }

    play_outcome run()
    {
        static_cast<void>(m_caller.receive("POST /long/x HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n\r\n", { 8192, 8192, 64 }, m_fixture.now));
        execute(m_fixture.request(1, "/long/x"));
        constexpr int maxSteps = 2000;
        for (int step = 0; step < maxSteps && m_caller.isAnswering() && !m_aborted && !m_outcome.callerLeft; ++step)
            playStep();
        CHECK((!m_caller.isAnswering() || m_aborted || m_outcome.callerLeft));
        // After an abort the kernel loses what the caller had not taken.
        take(m_aborted ? m_random() % (m_caller.unsent().size() + 1) : m_caller.unsent().size());
        m_outcome.caller = readAnswer(m_received);
        return m_outcome;
    }

private:
    static router_options options()
    {
        auto options = router_fixture::defaultOptions();
        options.settings.retryRatio = 10;
        options.settings.retryAllowance = 1000;
        return options;
    }

    void playStep()
    {
        if (m_random() % 400 == 0) {
            m_outcome.callerLeft = true;
            return execute(m_fixture.step(caller_left { 1 }));
        }
        if (m_random() % 300 == 0)
            execute(m_fixture.step(termination_requested {}));
        if (m_random() % 3 == 0)
            take(m_random() % (m_caller.unsent().size() + 1));
        if (!m_attempt || (m_attempt->rest.isSilent && m_attempt->position == m_attempt->rest.bytes.size()))
            return execute(m_fixture.advance(milliseconds(200)));
        if (m_random() % 4 == 0)
            execute(m_fixture.advance(milliseconds(m_random() % 100)));
        if (m_attempt)
            writeOn();
    }

    void writeOn()
    {
        auto& attempt = *m_attempt;
        if (attempt.position < attempt.rest.bytes.size()) {
            const auto piece = attempt.rest.bytes.substr(attempt.position, 1 + m_random() % 90);
            attempt.position += piece.size();
            return post(attempt.connection.receive(piece));
        }
        if (attempt.rest.isReset) {
            const auto number = attempt.number;
            m_attempt.reset();
            return execute(m_fixture.step(attempt_aborted { number, true, "reset" }));
        }
        post(attempt.connection.receiveEnd("end of the connection"));
    }

    void post(const std::vector<exchange_event>& events)
    {
        const auto number = m_attempt->number;
        std::vector<router_event> posted;
        for (const auto& event : events) {
            if (const auto* head = std::get_if<http_answer_head>(&event))
                posted.emplace_back(answer_started { number, platform::decodeAnswer(http_answer_head(*head)) });
            if (const auto* body = std::get_if<answer_body_bytes>(&event))
                posted.emplace_back(answer_continued { number, std::string(body->bytes) });
            if (std::holds_alternative<kumquat::answer_ended>(event))
                posted.emplace_back(router::answer_ended { number });
            if (const auto* failed = std::get_if<exchange_failed>(&event))
                posted.emplace_back(attempt_aborted { number, true, failed->reason });
        }
        if (m_attempt->connection.isIdle()) {
            m_outcome.endDeclared = m_outcome.endDeclared || m_attempt->rest.declaresEnd;
            m_attempt.reset();
        }
        // Events of an attempt that was cancelled by an earlier one are posted as well: a late event must not reach the caller.
        for (auto& event : posted)
            execute(m_fixture.step(std::move(event)));
    }

    void execute(const router_effects& emitted)
    {
        for (const auto& effect : router_effects(emitted)) {
            if (const auto* started = std::get_if<start_attempt>(&effect))
                start(*started);
            if (const auto* cancelled = std::get_if<cancel_attempt>(&effect); cancelled && m_attempt && m_attempt->number == cancelled->attemptNumber)
                m_attempt.reset();
            executeReply(effect);
        }
    }

    void executeReply(const router_effect& effect)
    {
        if (const auto* reply = std::get_if<start_reply>(&effect))
            m_caller.beginAnswer(reply->head, true);
        if (const auto* part = std::get_if<append_reply>(&effect))
            m_caller.appendAnswer(part->bytes);
        if (std::holds_alternative<end_reply>(effect))
            m_caller.finishAnswer(m_fixture.now);
        if (const auto* reply = std::get_if<send_reply>(&effect))
            answerWhole(reply->head, reply->body);
        if (const auto* refused = std::get_if<refuse_reply>(&effect)) {
            const auto body = formatErrorBody(refused->requestId, refused->refusal);
            answerWhole({ httpStatus(refused->refusal.code), {}, body.size(), true }, body);
        }
        m_aborted = m_aborted || std::holds_alternative<abort_reply>(effect);
    }

    void answerWhole(const http_answer_head& head, const std::string& body)
    {
        m_caller.beginAnswer(head, true);
        m_caller.appendAnswer(body);
        m_caller.finishAnswer(m_fixture.now);
    }

    // The caller takes bytes of its answer.
    void take(std::size_t size)
    {
        m_received += m_caller.unsent().substr(0, size);
        m_caller.markSent(size, m_fixture.now);
    }

    void start(const start_attempt& started)
    {
        ++m_outcome.attempts;
        m_attempt.emplace();
        m_attempt->number = started.attemptNumber;
        m_attempt->connection.begin({ "X-Attempt-Id", "request-1" }, false);
        m_attempt->rest = script_drawer(m_random, m_outcome.length).draw(static_cast<int>(started.resumeAfter.value_or(0)));
    }

    script_generator m_random;
    router_fixture m_fixture;
    server_connection m_caller;
    std::optional<playing_attempt> m_attempt;
    std::string m_received;
    bool m_aborted = false;
    play_outcome m_outcome;
};

void check(const play_outcome& outcome)
{
    const auto& caller = outcome.caller;
    CAPTURE(caller.status, caller.body);
    CHECK_FALSE(caller.isMalformed);
    if (caller.status == 200) {
        const auto whole = eventsOf(1, outcome.length);
        const auto events = withoutComments(caller.body);
        CHECK(whole.starts_with(events));
        if (caller.isComplete) {
            CHECK(events == whole);
            CHECK(outcome.endDeclared);
        }
    } else if (caller.status != 0) {
        CHECK(caller.isComplete);
        CHECK(caller.body.find("piece") == std::string::npos);
    }
}

} // namespace

// Guards against missing, repeated or foreign bytes in a caller's stream and against a stream that ends as complete before its end.
TEST_CASE("a caller gets a prefix of one stream in order, and its end only if it was whole, whatever upstreams write", "[router][stream][property]")
{
    int complete = 0;
    int completeAfterResumption = 0;
    int brokenOff = 0;
    int errors = 0;
    for (unsigned seed = 1; seed <= playedDraws(10000); ++seed) {
        CAPTURE(seed);
        const auto outcome = stream_play(seed).run();
        check(outcome);
        const bool isStream = outcome.caller.status == 200;
        complete += isStream && outcome.caller.isComplete ? 1 : 0;
        completeAfterResumption += isStream && outcome.caller.isComplete && outcome.attempts > 1 ? 1 : 0;
        brokenOff += isStream && !outcome.caller.isComplete ? 1 : 0;
        errors += !isStream && outcome.caller.isComplete ? 1 : 0;
    }
    CAPTURE(complete, completeAfterResumption, brokenOff, errors);
    CHECK(complete > static_cast<int>(playedDraws(1000)));
    CHECK(completeAfterResumption > static_cast<int>(playedDraws(300)));
    CHECK(brokenOff > static_cast<int>(playedDraws(300)));
    CHECK(errors > static_cast<int>(playedDraws(100)));
}
