#pragma once

#include "core/held_document.h"
#include "core/result.h"

#include <string>

namespace kumquat {

// Reads and checks the document in a file.
result<held_document_ptr> loadDocument(const std::string& path);

} // namespace kumquat
