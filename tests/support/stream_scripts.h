#pragma once

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>
#include <string>
#include <string_view>

namespace kumquat::router {

using script_generator = std::mt19937;

constexpr std::string_view errorText = "THE UPSTREAM FAILED";

// An event is the same bytes at each upstream.
inline std::string eventOf(int id)
{
    const auto number = std::to_string(id);
    switch (id % 4) {
    case 0:
        return "id: " + number + "\r\ndata: piece " + number + "\r\n\r\n";
    case 1:
        return "x-weight-versions: 3\nid: " + number + "\ndata: piece " + number + "\n\n";
    case 2:
        return "id:" + number + "\nevent: token\ndata: piece\ndata: id: 9999\n\n";
    default:
        return "id: " + number + "\ndata: piece " + number + "\n\n";
    }
}

inline std::string eventsOf(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += eventOf(id);
    return text;
}

// The events of a stream as a caller received it.
inline std::string withoutComments(std::string text)
{
    constexpr std::string_view comment = ": alive\n\n";
    for (auto position = text.find(comment); position != std::string::npos; position = text.find(comment))
        text.erase(position, comment.size());
    // A stream that was broken off may end inside a comment.
    const auto lastColon = text.rfind(comment.front());
    const bool startsEvent = lastColon == 0 || (lastColon != std::string::npos && text[lastColon - 1] == '\n');
    if (startsEvent && comment.starts_with(std::string_view(text).substr(lastColon)))
        text.erase(lastColon);
    return text;
}

enum class framing { chunked,
    length,
    connection,
    count };

// What an upstream writes in answer to one attempt.
enum class script_kind { whole,
    broken,
    error_answer,
    refusal,
    other_content,
    without_events,
    gap,
    error_event,
    late_answer,
    unsigned_stream,
    silent,
    count };

struct script {
    std::string bytes;
    // The connection is reset after the bytes, instead of ended.
    bool isReset = false;
    // Nothing follows the bytes.
    bool isSilent = false;
    // All of the stream's rest has been written, and its end.
    bool declaresEnd = false;
};

inline std::string formatBody(framing form, const std::string& head, const std::string& body, script_generator& random)
{
    if (form == framing::connection)
        return head + "\r\n" + body;
    if (form == framing::length)
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    auto text = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t from = 0; from < body.size();) {
        const auto piece = body.substr(from, 1 + random() % 40);
        std::array<char, 20> size {};
        std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
        text += size.data() + piece + "\r\n";
        from += piece.size();
    }
    return text + (random() % 3 == 0 ? "0\r\nX-Error: " + std::string(errorText) + "\r\n\r\n" : "0\r\n\r\n");
}

// Draws what upstreams of a stream of some length write, whole, broken or wrong.
class script_drawer {
public:
    script_drawer(script_generator& random, int length)
        : m_random(random)
        , m_length(length)
    {
    }

    // The answer to an attempt that goes on after an event, or begins the stream after 0.
    script draw(int delivered)
    {
        const auto kind = m_random() % 3 == 0 ? script_kind::broken : static_cast<script_kind>(m_random() % static_cast<unsigned>(script_kind::count));
        const auto form = static_cast<framing>(m_random() % static_cast<unsigned>(framing::count));
        const std::string named = "X-Attempt-Id: request-1\r\nX-Response-Seal: s\r\n";
        const std::string streamHead = (m_random() % 4 == 0 ? "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" : "") + std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        const int repeated = delivered > 0 ? static_cast<int>(m_random() % 3) : 0;
        const int first = std::max(1, delivered + 1 - repeated);
        const std::string comment = m_random() % 3 == 0 ? ": alive\n\n" : "";
        const auto rest = comment + eventsOf(first, m_length);
        const std::string error = std::string(errorText) + "\n\n";
        script drawn;
        switch (kind) {
        case script_kind::whole:
            drawn = { .bytes = formatBody(form, streamHead + named, rest, m_random), .declaresEnd = true };
            // A connection that ends before any event proves nothing.
            drawn.declaresEnd = form != framing::connection || first <= m_length;
            break;
        case script_kind::broken:
            drawn = breakOff(formatBody(form, streamHead + named, rest, m_random), form, rest);
            break;
        case script_kind::error_answer: {
            constexpr std::array statuses { 302, 400, 404, 408, 409, 413, 421, 429, 500, 502, 503, 504 };
            const std::string type = m_random() % 2 == 0 ? "Content-Type: text/event-stream\r\n" : "Content-Type: text/plain\r\n";
            drawn.bytes = formatBody(form, "HTTP/1.1 " + std::to_string(statuses.at(m_random() % statuses.size())) + " Error\r\n" + type + named, error, m_random);
            break;
        }
        case script_kind::refusal:
            drawn.bytes = formatBody(form, "HTTP/1.1 503 Busy\r\nX-Attempt-Id: request-1\r\nX-Not-Executed: 1\r\n", error, m_random);
            break;
        case script_kind::other_content:
            // As the answer to the first attempt it would be the answer to the caller.
            drawn.bytes = delivered > 0 ? formatBody(form, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + named, error, m_random) : "";
            break;
        case script_kind::without_events: {
            // An explicit end is believed, so that only upstreams that have nothing to add declare one.
            const bool isExplicit = delivered == m_length || delivered == 0;
            drawn.bytes = formatBody(isExplicit ? form : framing::connection, streamHead + named, "", m_random);
            drawn.declaresEnd = isExplicit && form != framing::connection && delivered == m_length;
            break;
        }
        case script_kind::gap:
            drawn.bytes = delivered > 0 && delivered + 2 <= m_length ? formatBody(form, streamHead + named, eventsOf(delivered + 2, m_length), m_random) : "";
            break;
        case script_kind::error_event:
            drawn.bytes = delivered > 0 ? formatBody(form, streamHead + named, "event: error\ndata: " + error + rest, m_random) : "";
            break;
        case script_kind::late_answer:
            drawn.bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: request-0\r\nContent-Length: 4\r\n\r\nlate" + formatBody(form, streamHead + named, rest, m_random);
            drawn.declaresEnd = form != framing::connection || first <= m_length;
            break;
        case script_kind::unsigned_stream:
            drawn.bytes = formatBody(form, streamHead + "X-Attempt-Id: request-1\r\n", rest, m_random);
            break;
        default:
            drawn = breakOff(formatBody(form, streamHead + named, rest, m_random), form, rest);
            drawn.isSilent = true;
        }
        return drawn;
    }

private:
    // Cuts an answer off before its last byte. What ends with its connection is reset, or cut inside an event.
    script breakOff(const std::string& whole, framing form, const std::string& body)
    {
        script drawn { .bytes = whole.substr(0, m_random() % whole.size()), .isReset = m_random() % 2 == 0 };
        if (form != framing::connection || drawn.isReset)
            return drawn;
        const auto bodyStart = whole.size() - body.size();
        drawn.isReset = drawn.bytes.size() > bodyStart && drawn.bytes.ends_with("\n");
        return drawn;
    }

    script_generator& m_random;
    int m_length;
};

} // namespace kumquat::router
