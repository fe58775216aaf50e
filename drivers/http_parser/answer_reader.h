#pragma once

#include "core/http_message.h"

#include <memory>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquat {

// Bytes of a body without their transfer coding. They point into the input of feed() and are valid as long as it is.
struct answer_body_bytes {
    std::string_view bytes;
};

struct answer_body_end { };

using answer_part = std::variant<http_answer_head, answer_body_bytes, answer_body_end>;

// Parses the answers of an HTTP/1.1 server from the bytes of one connection, one after another. Interim answers (1xx) are
// skipped.
class answer_reader {
public:
    answer_reader();
    ~answer_reader();

    // Resets the reader for the next answer. An answer to a HEAD request has no body.
    void restart(bool isHeadRequest);
    // Parses bytes up to the end of one answer and appends what they contain to the parts. Returns how many bytes were
    // consumed.
    std::size_t feed(std::string_view, std::vector<answer_part>& parts);
    // Reports an orderly close by the server, which ends a body that has neither a length nor chunks. Appends nothing if
    // the answer is otherwise incomplete.
    void feedEndOfStream(std::vector<answer_part>& parts);
    // The bytes are not a valid HTTP answer; the rest of the connection cannot be parsed.
    bool malformed() const;
    bool complete() const;
    // The memory that a head occupies which has been received in part.
    std::size_t heldBytes() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
