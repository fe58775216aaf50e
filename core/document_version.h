#pragma once

#include <compare>
#include <cstdint>

namespace kumquat {

// Identifies one published document. Versions are ordered by generation. The hash breaks the tie between two documents
// that were published under the same generation, so that every node chooses the same one.
struct document_version {
    std::uint64_t generation = 0;
    // Hash of the document's canonical text.
    std::uint64_t hash = 0;

    auto operator<=>(const document_version&) const = default;
};

} // namespace kumquat
