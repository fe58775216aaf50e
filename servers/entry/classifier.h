#pragma once

#include "core/caller_error.h"
#include "core/caller_request.h"
#include "core/document_index.h"

#include <string>
#include <variant>

namespace kumquat {

// What the document says of one request.
struct classification {
    const organisation* caller = nullptr;
    const request_class* requestClass = nullptr;
    const service* target = nullptr;
    // Path on the upstream.
    std::string upstreamPath;
};

// Authenticates a request and finds its class and service, or says what is wrong with it.
std::variant<classification, caller_error> classify(const document_index&, const caller_request&);

} // namespace kumquat
