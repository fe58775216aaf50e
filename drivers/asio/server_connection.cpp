#include "drivers/asio/server_connection.h"

#include <array>
#include <cstdio>
#include <utility>

namespace kumquat {

namespace {

    std::string formatHead(const http_answer_head& head, bool staysOpen)
    {
        std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
        text += reasonPhrase(head.status);
        text += "\r\n";
        for (const auto& [name, value] : head.headers)
            text += name + ": " + value + "\r\n";
        if (head.contentLength)
            text += "Content-Length: " + std::to_string(*head.contentLength) + "\r\n";
        else
            text += "Transfer-Encoding: chunked\r\n";
        if (!staysOpen)
            text += "Connection: close\r\n";
        return text + "\r\n";
    }

    void appendChunk(std::string& text, std::string_view bytes)
    {
        std::array<char, 20> size {};
        const auto length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        text.append(size.data(), static_cast<std::size_t>(length));
        text.append(bytes);
        text += "\r\n";
    }

    // Returns the HTTP status that answers a request which the reader refused.
    int refusalStatus(request_reader::state state)
    {
        switch (state) {
        case request_reader::state::header_too_large:
            return 431;
        case request_reader::state::body_too_large:
            return 413;
        case request_reader::state::version_unsupported:
            return 505;
        default:
            return 400;
        }
    }

} // namespace

server_connection::phase server_connection::current() const
{
    if (m_isAnswering)
        return phase::answering;
    if (m_reader)
        return phase::reading;
    if (!m_unsent.empty())
        return phase::sending;
    return m_staysOpen ? phase::idle : phase::closing;
}

received_request server_connection::receive(std::string_view bytes, const http_read_limits& limits, instant now)
{
    if (!m_staysOpen) {
        m_waiting.clear();
        return no_request {};
    }
    const auto phase = current();
    const bool mayRead = phase == phase::idle || phase == phase::reading;
    if (!mayRead || !m_waiting.empty())
        m_waiting.tail().append(bytes);
    const bool readsWaiting = !m_waiting.empty();
    if (!mayRead || (!readsWaiting && bytes.empty()))
        return no_request {};
    if (phase == phase::idle)
        beginRequest(limits, now);
    std::size_t consumed = 0;
    auto received = read(readsWaiting ? m_waiting.view() : bytes, consumed, now);
    if (readsWaiting)
        m_waiting.removeFront(consumed);
    else if (m_staysOpen)
        m_waiting.tail().append(bytes.substr(consumed));
    return received;
}

std::size_t server_connection::heldBytes() const
{
    return m_waiting.capacity() + m_unsent.capacity() + m_requestBytes + (m_reader ? m_reader->heldBytes() : 0);
}

void server_connection::beginRequest(const http_read_limits& limits, instant now)
{
    m_reader = std::make_unique<request_reader>(limits);
    m_continueSent = false;
    m_phaseStart = now;
}

received_request server_connection::read(std::string_view bytes, std::size_t& consumed, instant now)
{
    consumed = m_reader->feed(bytes);
    const auto state = m_reader->current();
    if (state == request_reader::state::reading) {
        if (!m_continueSent && m_reader->awaitsContinue()) {
            m_continueSent = true;
            m_unsent.tail() += "HTTP/1.1 100 Continue\r\n\r\n";
        }
        return no_request {};
    }
    if (state != request_reader::state::complete) {
        const refused_request refused { refusalStatus(state) };
        refuse(refused.status, now);
        return refused;
    }
    m_requestBytes = m_reader->heldBytes();
    auto request = m_reader->take();
    m_reader.reset();
    m_isAnswering = true;
    m_hasBegunAnswer = false;
    m_staysOpen = request.keepAlive;
    m_isHeadRequest = request.method == "HEAD";
    return request;
}

void server_connection::refuse(int status, instant now)
{
    m_reader.reset();
    m_waiting.clear();
    m_isAnswering = true;
    beginAnswer({ status, {}, 0, false }, false);
    finishAnswer(now);
}

void server_connection::beginAnswer(const http_answer_head& head, bool mayStayOpen)
{
    if (!m_isAnswering)
        return;
    m_hasBegunAnswer = true;
    m_staysOpen = m_staysOpen && head.keepAlive && mayStayOpen;
    m_isChunked = !head.contentLength;
    m_unsent.tail() += formatHead(head, m_staysOpen);
}

void server_connection::appendAnswer(std::string_view bytes)
{
    if (!m_isAnswering || m_isHeadRequest || bytes.empty())
        return;
    if (m_isChunked)
        appendChunk(m_unsent.tail(), bytes);
    else
        m_unsent.tail() += bytes;
}

void server_connection::finishAnswer(instant now)
{
    if (!m_isAnswering)
        return;
    if (m_isChunked && !m_isHeadRequest)
        m_unsent.tail() += "0\r\n\r\n";
    m_isAnswering = false;
    m_requestBytes = 0;
    m_phaseStart = now;
    if (!m_staysOpen)
        m_waiting.clear();
}

void server_connection::abortAnswer(instant now)
{
    if (!m_isAnswering)
        return;
    m_isAnswering = false;
    m_staysOpen = false;
    m_requestBytes = 0;
    m_waiting = {};
    m_phaseStart = now;
}

void server_connection::markSent(std::size_t size, instant now)
{
    m_unsent.removeFront(size);
    if (size > 0 && !m_isAnswering && !m_reader)
        m_phaseStart = now;
}

} // namespace kumquat
