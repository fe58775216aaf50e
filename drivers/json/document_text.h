#pragma once

#include "core/peer_message.h"
#include "core/result.h"
#include "core/versioned_document.h"

#include <string>
#include <vector>

namespace kumquat {

// The canonical text of a document is its publication as JSON with the named lists written as objects, so that a patch
// between two texts is small when an item is added or removed in the middle of a list. Equal publications have equal
// texts, whose hash is part of the document's version.

// Parses a publication or a bare document, as operators and the store provide them. Errors start with the source.
result<versioned_document_ptr> openPublishedDocument(const std::string& source, const std::string& text);

// Parses a canonical text that a peer has sent.
result<versioned_document_ptr> openCanonicalDocument(const std::string& text);

// Applies consecutive steps to a document and verifies the version before and after each step. Returns an error for a
// step that does not fit.
result<versioned_document_ptr> applyDocumentSteps(const versioned_document& base, const std::vector<document_step>& steps);

// Returns the step, a JSON patch between the canonical texts, from one version to another.
document_step makeDocumentStep(const versioned_document& from, const versioned_document& to);

// Formats the publication for a store that lost it, marked with the generation that is written back.
std::string formatRepair(const versioned_document&);

} // namespace kumquat
