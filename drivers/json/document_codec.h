#pragma once

#include "core/document.h"
#include "core/result.h"

#include <string>

namespace kumquat {

// Reads a document from JSON and checks it as a whole: against the schema, for unique names and for references that resolve.
result<document> parseDocument(const std::string& source, const std::string& text);

// Writes a document as JSON in the form that parseDocument() reads.
std::string formatDocument(const document&);

} // namespace kumquat
