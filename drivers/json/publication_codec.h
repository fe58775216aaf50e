#pragma once

#include "core/result.h"
#include "core/stored_publication.h"
#include "servers/config/publisher_event.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// One difference between two documents. Paths name list items by their name, such as /classes/gate-pass/tier.
struct document_change {
    std::string path;
    // JSON text; empty when the field is absent on that side.
    std::string before;
    std::string after;
};

// Reads who published the store's object.
result<stored_publication> parseStoredPublication(std::uint64_t storeVersion, const std::string& text);

// Writes a publication of the document for the store. The last submission of the history is the document's own.
result<std::string> composePublication(const std::string& documentText, const std::vector<submission>& history, std::uint64_t lastRepairGeneration = 0);

// Returns the generation that a document names, from which its operator made it.
std::optional<std::uint64_t> baseGenerationOf(const std::string& documentText);

// Compares two documents or publications with all defaults filled in.
result<std::vector<document_change>> compareDocuments(const std::string& beforeText, const std::string& afterText);

// Reads from a node's dump which document it has in force.
result<node_version> parseNodeVersion(const std::string& node, const std::string& dumpText);

// Returns what a node's dump says of one request, as JSON text, or an empty list.
result<std::vector<std::string>> findRequest(const std::string& requestId, const std::string& dumpText);

} // namespace kumquat
