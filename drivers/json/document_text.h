#pragma once

#include "core/peer_message.h"
#include "core/result.h"
#include "core/versioned_document.h"

#include <string>
#include <vector>

namespace kumquat {

// The canonical text of a document is its publication with named lists written as objects, so that a patch between two
// texts stays small when an item is added or removed in the middle of a list. Equal publications have equal texts.

// Reads what operators and the store hold: a publication, or a bare document.
result<versioned_document_ptr> openPublishedDocument(const std::string& source, const std::string& text);

// Reads a canonical text from a peer.
result<versioned_document_ptr> openCanonicalDocument(const std::string& text);

// Applies consecutive steps and verifies the version before and after each.
result<versioned_document_ptr> applyDocumentSteps(const versioned_document& base, const std::vector<document_step>& steps);

document_step makeDocumentStep(const versioned_document& from, const versioned_document& to);

// Writes the publication for a store that lost it, marked as written back.
std::string formatRepair(const versioned_document&);

} // namespace kumquat
