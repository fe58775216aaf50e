#pragma once

#include "core/caller_error.h"
#include "core/caller_request.h"
#include "core/document_index.h"

#include <string>
#include <variant>

namespace kumquat {

// Organisation, class and service of one request, as the configuration document defines them. The pointers point into the
// document.
struct classification {
    const organisation* caller = nullptr;
    const request_class* requestClass = nullptr;
    const service* target = nullptr;
    // Path of the request at the upstream; for a plain service the path without the "/services/NAME" prefix.
    std::string upstreamPath;
};

// Authenticates a request by its key and looks up its organisation, service and class. The class comes from the request's
// class header or else from the document's rules. Returns unauthenticated, unknown_service, unknown_model, unknown_class or
// malformed_request when that is not possible.
std::variant<classification, caller_error> classify(const document_index&, const caller_request&);

} // namespace kumquat
