#include "drivers/asio/client_connection.h"

#include "core/overloaded.h"

#include <charconv>
#include <optional>
#include <utility>

namespace kumquat {

namespace {

    // How long an idle connection stays reusable if the server sends no Keep-Alive timeout.
    constexpr auto defaultIdleTimeout = std::chrono::seconds(4);

    // Returns the idle timeout that the server announces as "timeout=N", in seconds, in the Keep-Alive header.
    std::optional<duration> announcedIdleTimeout(const http_answer_head& head)
    {
        constexpr std::string_view key = "timeout=";
        const auto* value = findHeader(head.headers, "Keep-Alive");
        if (!value)
            return std::nullopt;
        const auto position = value->find(key);
        if (position == std::string::npos)
            return std::nullopt;
        int seconds = 0;
        const auto* first = value->data() + position + key.size();
        if (std::from_chars(first, value->data() + value->size(), seconds).ec != std::errc())
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

} // namespace

client_connection::client_connection()
    : m_idleTimeout(defaultIdleTimeout)
{
}

void client_connection::begin(expected_header expected, bool isHeadRequest)
{
    m_expected = std::move(expected);
    m_isHeadRequest = isHeadRequest;
    m_phase = phase::awaiting_head;
    m_reader.restart(isHeadRequest);
}

std::vector<exchange_event> client_connection::receive(std::string_view bytes)
{
    std::vector<exchange_event> events;
    if (isIdle())
        fail("bytes that answer no request", events);
    std::vector<answer_part> parts;
    while (!bytes.empty() && !isIdle()) {
        parts.clear();
        bytes.remove_prefix(m_reader.feed(bytes, parts));
        for (auto& part : parts)
            readPart(part, bytes.empty(), events);
        if (!isIdle() && m_reader.malformed())
            fail("malformed answer", events);
    }
    return events;
}

std::vector<exchange_event> client_connection::receiveEnd(const std::string& reason)
{
    std::vector<exchange_event> events;
    m_reusable = false;
    std::vector<answer_part> parts;
    if (m_phase == phase::reading_answer)
        m_reader.feedEndOfStream(parts);
    for (auto& part : parts)
        readPart(part, true, events);
    if (!isIdle())
        fail(reason, events);
    return events;
}

void client_connection::readPart(answer_part& part, bool isLast, std::vector<exchange_event>& events)
{
    const auto visitor = overloaded {
        [&](http_answer_head& head) { readHead(head, events); },
        [&](const answer_body_bytes& body) {
            if (m_phase == phase::reading_answer)
                events.emplace_back(body);
        },
        [&](const answer_body_end&) { end(isLast, events); },
    };
    if (!isIdle())
        std::visit(visitor, part);
}

void client_connection::readHead(http_answer_head& head, std::vector<exchange_event>& events)
{
    const auto* echoed = m_expected.header.empty() ? nullptr : findHeader(head.headers, m_expected.header);
    if (!echoed && !m_expected.value.empty() && m_hasCarriedRequest)
        return fail("an answer that names no request, on a connection that has carried others", events);
    m_reusable = m_reusable && head.keepAlive;
    if (echoed && *echoed != m_expected.value) {
        m_phase = phase::skipping_answer;
        m_reusable = false;
        return;
    }
    if (const auto announced = announcedIdleTimeout(head))
        m_idleTimeout = *announced;
    m_phase = phase::reading_answer;
    events.emplace_back(std::move(head));
}

// Bytes after the complete answer belong to no request, so the connection's framing can't be trusted any more.
void client_connection::end(bool isLast, std::vector<exchange_event>& events)
{
    if (m_phase == phase::skipping_answer) {
        m_phase = phase::awaiting_head;
        return m_reader.restart(m_isHeadRequest);
    }
    m_reusable = m_reusable && isLast;
    m_phase = phase::idle;
    m_hasCarriedRequest = true;
    events.emplace_back(answer_ended {});
}

void client_connection::fail(std::string reason, std::vector<exchange_event>& events)
{
    m_phase = phase::idle;
    m_reusable = false;
    events.emplace_back(exchange_failed { std::move(reason) });
}

} // namespace kumquat
