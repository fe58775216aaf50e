#include "drivers/http/load_client.h"

#include "drivers/http/event_splitter.h"
#include "drivers/json/completion_codec.h"
#include "drivers/json/experiment_codec.h"
#include "drivers/json/load_answer_codec.h"

#include <httplib.h>

namespace kumquat {

namespace {

    constexpr std::chrono::seconds connectTimeout { 5 };
    constexpr std::chrono::seconds readTimeout { 700 };
    constexpr const char* endMarker = "[DONE]";

    using clock = std::chrono::steady_clock;

    std::chrono::microseconds elapsedSince(instant start)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - start);
    }

    // Parses a streamed answer and collects the timings and counts from which its outcome is determined.
    class stream_checker {
    public:
        explicit stream_checker(instant sentAt)
            : m_sentAt(sentAt)
        {
        }

        void feed(const char* bytes, std::size_t size)
        {
            m_splitter.feed(bytes, size, [this](const std::string& data) { consume(data); });
        }

        load_outcome outcome() const
        {
            load_outcome outcome = m_outcome;
            outcome.total = elapsedSince(m_sentAt);
            if (!m_errorCode.empty()) {
                outcome.errorCode = m_errorCode;
                outcome.result = m_errorRan == "no" ? load_result::refused : load_result::unknown;
                return outcome;
            }
            const bool isComplete = m_endMarkerCount == 1 && m_reportedTokens == outcome.tokens && outcome.tokens > 0;
            outcome.result = isComplete ? load_result::complete : load_result::broken;
            return outcome;
        }

    private:
        void consume(const std::string& data)
        {
            if (data == endMarker) {
                m_endMarkerCount++;
                return;
            }
            const auto event = parseLoadEvent(data);
            if (!event.errorCode.empty()) {
                m_errorCode = event.errorCode;
                m_errorRan = event.errorRan;
            }
            if (event.reportedTokens > 0)
                m_reportedTokens = event.reportedTokens;
            if (event.text.empty())
                return;
            const auto now = elapsedSince(m_sentAt);
            if (!m_outcome.firstToken)
                m_outcome.firstToken = now;
            else
                m_outcome.longestGap = std::max(m_outcome.longestGap.value_or(std::chrono::microseconds { 0 }), now - m_lastToken);
            m_lastToken = now;
            m_outcome.tokens++;
        }

        instant m_sentAt;
        event_splitter m_splitter;
        load_outcome m_outcome;
        std::chrono::microseconds m_lastToken { 0 };
        std::uint32_t m_endMarkerCount = 0;
        std::uint32_t m_reportedTokens = 0;
        std::string m_errorCode;
        std::string m_errorRan;
    };

    load_outcome classifyError(const std::string& body, std::chrono::microseconds total)
    {
        const auto event = parseLoadEvent(body);
        load_outcome outcome;
        outcome.total = total;
        outcome.errorCode = event.errorCode;
        if (event.errorCode.empty())
            outcome.result = load_result::broken;
        else
            outcome.result = event.errorRan == "no" ? load_result::refused : load_result::unknown;
        return outcome;
    }

} // namespace

load_outcome sendLoadRequest(const std::string& entry, const load_stream& stream, std::uint64_t number, const std::string& idempotencyKey)
{
    httplib::Client client(entry);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(readTimeout);
    client.set_tcp_nodelay(true);
    httplib::Request request;
    request.method = "POST";
    request.path = stream.path;
    request.body = formatLoadBody(stream, number);
    request.headers = { { "Authorization", "Bearer " + stream.key }, { "X-Kumquat-Class", stream.className }, { "Content-Type", "application/json" } };
    if (!idempotencyKey.empty())
        request.headers.emplace("Idempotency-Key", idempotencyKey);
    const bool isStream = stream.path.starts_with("/v1/");
    const auto sentAt = clock::now();
    stream_checker checker(sentAt);
    int status = 0;
    std::string body;
    request.response_handler = [&](const httplib::Response& response) {
        status = response.status;
        return true;
    };
    request.content_receiver = [&](const char* bytes, size_t size, uint64_t, uint64_t) {
        if (status == 200 && isStream)
            checker.feed(bytes, size);
        else
            body.append(bytes, size);
        return true;
    };
    httplib::Response response;
    httplib::Error transportError = httplib::Error::Success;
    const bool succeeded = client.send(request, response, transportError);
    if (status == 0)
        return {};
    if (status != 200)
        return classifyError(body, elapsedSince(sentAt));
    if (isStream)
        return checker.outcome();
    return { .result = succeeded && !body.empty() ? load_result::complete : load_result::broken, .total = elapsedSince(sentAt) };
}

} // namespace kumquat
