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

// Parses the submissions and the last repair of the store's object.
result<stored_publication> parseStoredPublication(std::uint64_t storeVersion, const std::string& text);

// Formats a publication of the document for the store. The last item of the history is the submission of this document;
// the history must not be empty.
result<std::string> composePublication(const std::string& documentText, const std::vector<submission>& history, std::uint64_t lastRepairGeneration = 0);

// Returns the value of a document's field 'generation', which is the generation that the operator has edited. Returns
// nothing if the field is absent or the text is not JSON.
std::optional<std::uint64_t> baseGenerationOf(const std::string& documentText);

// Compares two documents or publications with all defaults filled in and returns their differences, sorted by path.
result<std::vector<document_change>> compareDocuments(const std::string& beforeText, const std::string& afterText);

// Parses the generation and submission id of the document that a node has in force from its dump.
result<node_version> parseNodeVersion(const std::string& node, const std::string& dumpText);

// Returns the records of one request in a node's dump, each as JSON text with the node's id and role added.
result<std::vector<std::string>> findRequestRecords(const std::string& requestId, const std::string& dumpText);

} // namespace kumquat
