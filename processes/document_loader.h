#pragma once

#include "core/result.h"
#include "core/versioned_document.h"

#include <string>

namespace kumquat {

// Reads and checks the document in a file.
result<versioned_document_ptr> loadDocument(const std::string& path);

} // namespace kumquat
