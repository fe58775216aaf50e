#pragma once

#include "core/byte_queue.h"
#include "core/clock.h"
#include "core/http_message.h"
#include "drivers/http_parser/request_reader.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace kumquat {

// The caller has not sent a whole request yet, or an earlier one has to be answered first.
struct no_request { };

// A request that was refused before it was read completely, and the HTTP status that answers it.
struct refused_request {
    int status = 400;
};

using received_request = std::variant<no_request, http_request, refused_request>;

// One caller's connection as bytes, without a socket: what has been received and not begun, the request in progress, and what of the
// answers is unsent. Its phase follows from these.
//
// A request begins only when the answer to the one before has been sent completely; until then all that the caller sends waits behind
// what waits already. So requests run in the order in which they were sent, each with its own bytes. After an answer that announces
// the end of the connection, what the caller sends is discarded.
class server_connection {
public:
    enum class phase {
        // No byte of a request has been received.
        idle,
        // A part of a request has been received.
        reading,
        // A request is in progress.
        answering,
        // The answer is complete, and the caller has not taken all of it yet.
        sending,
        // The last answer has been sent.
        closing
    };

    explicit server_connection(instant now)
        : m_phaseStart(now)
    {
    }

    phase current() const;
    // When the phase began, or when the caller took the last bytes if that was later.
    instant phaseStart() const { return m_phaseStart; }
    bool isAnswering() const { return m_isAnswering; }
    // The head of the answer to the request in progress has been written.
    bool hasBegunAnswer() const { return m_hasBegunAnswer; }

    // Takes bytes from the caller, and reads on as far as a request may begin.
    received_request receive(std::string_view bytes, const http_read_limits&, instant now);
    // Reads on with the bytes that wait.
    received_request readOn(const http_read_limits& limits, instant now) { return receive({}, limits, now); }
    // How many bytes wait until the request in progress has been answered.
    std::size_t waitingBytes() const { return m_waiting.size(); }

    // The memory that the connection occupies: of requests that have not been answered and of answers that have not been sent.
    std::size_t heldBytes() const;

    // Answers a request that is not complete with a status, as the last answer of the connection.
    void refuse(int status, instant now);
    // Starts the answer to the request in progress. The connection stays open after it if the request, the head and the last argument
    // allow it. Without a content length the body uses the chunked transfer coding.
    void beginAnswer(const http_answer_head&, bool mayStayOpen);
    void appendAnswer(std::string_view);
    // Completes the answer that beginAnswer() started.
    void finishAnswer(instant now);
    // Ends the answer without completing it, and the connection behind it.
    void abortAnswer(instant now);

    // The bytes to send next.
    std::string_view unsent() const { return m_unsent.view(); }
    // That many bytes from the front of the unsent ones have been sent.
    void markSent(std::size_t, instant now);

private:
    // Reads bytes up to the end of the request, and counts them.
    received_request read(std::string_view bytes, std::size_t& consumed, instant now);
    void beginRequest(const http_read_limits&, instant now);

    instant m_phaseStart;
    // Reads the request of which a part has been received; null at other times.
    std::unique_ptr<request_reader> m_reader;
    byte_queue m_waiting;
    byte_queue m_unsent;
    // The memory that the request in progress occupies.
    std::size_t m_requestBytes = 0;
    bool m_isAnswering = false;
    bool m_hasBegunAnswer = false;
    bool m_staysOpen = true;
    bool m_isHeadRequest = false;
    bool m_isChunked = false;
    // The interim answer 100 (Continue) has been sent for the request that is read.
    bool m_continueSent = false;
};

} // namespace kumquat
