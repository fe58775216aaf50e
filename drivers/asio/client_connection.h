#pragma once

#include "core/clock.h"
#include "core/http_message.h"
#include "drivers/asio/expected_header.h"
#include "drivers/http_parser/answer_reader.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquat {

// The answer to the request in progress is complete.
struct answer_ended { };

// The request in progress gets no complete answer, and the connection can't be used any more.
struct exchange_failed {
    std::string reason;
};

// What bytes from a server mean for the request in progress.
using exchange_event = std::variant<http_answer_head, answer_body_bytes, answer_ended, exchange_failed>;

// One connection to a server, without its socket: which bytes belong to the answer to the request in progress, when that answer ends,
// and whether the connection may carry another request. It carries one request at a time.
//
// A server may answer late, twice, or without being asked. An answer that names another request is skipped, and the connection carries
// no other request afterwards, since more may follow.
class client_connection {
public:
    client_connection();

    // Begins a request. The connection must be idle and reusable.
    void begin(expected_header, bool isHeadRequest);
    // Returns what the bytes contain for the request in progress, in order. Bodies point into the bytes. Nothing follows the event that
    // ends the request.
    std::vector<exchange_event> receive(std::string_view);
    // The server has closed the connection, which ends an answer that has neither a length nor chunks. `reason` describes the close.
    std::vector<exchange_event> receiveEnd(const std::string& reason);

    // No request is in progress.
    bool isIdle() const { return m_phase == phase::idle; }
    // The connection may carry another request once it is idle.
    bool isReusable() const { return m_reusable; }
    // The memory of the head that is being received.
    std::size_t heldBytes() const { return m_reader.heldBytes(); }
    // How long the server keeps the idle connection open, as far as known.
    duration idleTimeout() const { return m_idleTimeout; }

private:
    enum class phase { idle,
        awaiting_head,
        reading_answer,
        skipping_answer };

    void readPart(answer_part&, bool isLast, std::vector<exchange_event>&);
    void readHead(http_answer_head&, std::vector<exchange_event>&);
    void end(bool isLast, std::vector<exchange_event>&);
    void fail(std::string reason, std::vector<exchange_event>&);

    answer_reader m_reader;
    phase m_phase = phase::idle;
    expected_header m_expected;
    bool m_isHeadRequest = false;
    bool m_reusable = true;
    // It has carried an earlier request, so that an answer may be a late one to that.
    bool m_hasCarriedRequest = false;
    duration m_idleTimeout;
};

} // namespace kumquat
