#pragma once

#include "core/http_message.h"

#include <memory>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquat {

// Bytes of a body without its transfer coding. They are valid until the next call of the reader.
struct answer_body_bytes {
    std::string_view bytes;
};

struct answer_body_end { };

using answer_part = std::variant<http_answer_head, answer_body_bytes, answer_body_end>;

// Reads answers from a connection to an HTTP/1.1 server, one after another. Interim answers (1xx) are skipped.
class answer_reader {
public:
    answer_reader();
    ~answer_reader();

    // Prepares for the next answer. An answer to a HEAD request has no body.
    void restart(bool toHeadRequest);
    // Takes bytes up to the end of one answer and appends its parts. Returns how many bytes were taken.
    std::size_t feed(std::string_view, std::vector<answer_part>& parts);
    // Tells that the server has closed the connection in order: that ends a body without a length.
    void feedEnd(std::vector<answer_part>& parts);
    bool malformed() const;
    bool complete() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
