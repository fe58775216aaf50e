#pragma once

#include "core/result.h"
#include "core/versioned_document.h"

#include <string>

namespace kumquat {

// Reads the document in a file and validates it.
result<versioned_document_ptr> loadDocument(const std::string& path);

} // namespace kumquat
