#pragma once

#include "core/stored_publication.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// The operator has requested the publication. The first event.
struct publication_requested { };

struct publication_read {
    stored_publication stored;
};

struct publication_read_failed {
    std::string message;
};

// The conditional update took effect.
struct publication_written { };

// The conditional update did not take effect because the object has another version.
struct publication_refused { };

// The conditional update got no answer: it may have taken effect, or may still do so.
struct publication_write_unanswered {
    std::string message;
};

// The document that one node has in force.
struct node_version {
    std::string node;
    std::uint64_t generation = 0;
    std::string submissionId;
};

struct nodes_answered {
    std::vector<node_version> nodes;
    // Number of nodes that gave no valid answer.
    std::size_t unreachable = 0;
};

struct publisher_timer_due { };

using publisher_event = std::variant<publication_requested, publication_read, publication_read_failed, publication_written, publication_refused, publication_write_unanswered, nodes_answered, publisher_timer_due>;

} // namespace kumquat
