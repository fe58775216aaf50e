#pragma once

#include "core/document.h"
#include "core/result.h"

#include <string>

namespace kumquat {

// Parses a document from JSON and validates it: against the schema, for unique names, ranks, models and keys, and for
// references to items that exist. Errors start with the source and name the JSON pointer and the value.
result<document> parseDocument(const std::string& source, const std::string& text);

// Formats a document as JSON that parseDocument() accepts.
std::string formatDocument(const document&);

} // namespace kumquat
