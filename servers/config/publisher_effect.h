#pragma once

#include "core/stored_publication.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

struct read_publication { };

// Writes the document if the object still has the named version. Idempotent, so it may be repeated.
struct write_publication {
    std::uint64_t expectedVersion = 0;
    // The operator's own submission is the last of the history.
    std::vector<submission> history;
    std::uint64_t lastRepairGeneration = 0;
};

struct ask_nodes { };

// The store certainly took the document.
struct publication_accepted {
    std::uint64_t generation = 0;
    std::size_t nodesInForce = 0;
    std::size_t nodesAsked = 0;
    std::size_t nodesUnreachable = 0;
    // Set when another document of this or a later generation is in force instead.
    std::string displacedOn;
};

// Another operator published first; this document was certainly not accepted and never will be.
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
