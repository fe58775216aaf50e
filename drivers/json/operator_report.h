#pragma once

#include "drivers/json/publication_codec.h"
#include "servers/config/publisher_effect.h"

#include <string>
#include <vector>

namespace kumquat {

// Versions of the document in the store and on the nodes, as kumquat-ctl status shows them.
struct fleet_status {
    std::uint64_t storedGeneration = 0;
    std::string storedOperator;
    // Why the store could not be read; empty if it was read.
    std::string storeProblem;
    nodes_answered nodes;
};

// Each function formats one report of kumquat-ctl, as text or as one JSON object.
std::string formatChanges(const std::vector<document_change>&, bool asJson);
std::string formatOutcome(const publication_outcome&, bool asJson);
std::string formatStatus(const fleet_status&, bool asJson);
std::string formatRequestLines(const std::vector<std::string>& lines, bool asJson);
std::string formatValidity(const std::string& problem, bool asJson);

} // namespace kumquat
