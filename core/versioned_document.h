#pragma once

#include "core/document_index.h"
#include "core/document_version.h"

#include <memory>
#include <string>

namespace kumquat {

// A validated document together with the canonical text in which it is sent to other nodes.
struct versioned_document {
    document_version version;
    document_ptr contents;
    std::string text;
    // Empty for a document that was read from a file and never published.
    std::string submissionId;
};

using versioned_document_ptr = std::shared_ptr<const versioned_document>;

} // namespace kumquat
