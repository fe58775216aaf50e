#pragma once

#include "core/stored_publication.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// Reads the store's object. Answered by publication_read or publication_read_failed.
struct read_publication { };

// Writes the document if the object still has the expected version, so the write may be repeated: it takes effect at most
// once. Answered by publication_written, publication_refused or publication_write_unanswered.
struct write_publication {
    std::uint64_t expectedVersion = 0;
    // Submissions in order of generation; the last one is this publication.
    std::vector<submission> history;
    std::uint64_t lastRepairGeneration = 0;
};

// Reads the version in force on every node. Answered by nodes_answered.
struct ask_nodes { };

// The store is proven to have accepted the document.
struct publication_accepted {
    std::uint64_t generation = 0;
    std::size_t nodesInForce = 0;
    std::size_t nodesAsked = 0;
    std::size_t nodesUnreachable = 0;
    // A node on which another document of this or a later generation is in force; empty if there is none.
    std::string supersededOnNode;
};

// Another operator published first. This document is proven not to be accepted, now or later.
struct publication_conflict {
    submission other;
};

// Nothing was written.
struct publication_not_sent {
    std::string message;
};

// The document may have been accepted, or may still be.
struct publication_unknown {
    std::string message;
};

using publication_outcome = std::variant<publication_accepted, publication_conflict, publication_not_sent, publication_unknown>;

struct publication_ended {
    publication_outcome outcome;
};

using publisher_effect = std::variant<read_publication, write_publication, ask_nodes, publication_ended>;
using publisher_effects = std::vector<publisher_effect>;

} // namespace kumquat
