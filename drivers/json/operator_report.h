#pragma once

#include "drivers/json/publication_codec.h"
#include "servers/config/publisher_effect.h"

#include <string>
#include <vector>

namespace kumquat {

// State of the document over the fleet, as kumquat-ctl status shows it.
struct fleet_status {
    std::uint64_t storedGeneration = 0;
    std::string storedOperator;
    // Empty when the store could be read.
    std::string storeProblem;
    nodes_answered nodes;
};

// Each function writes one report for operators, as text or as one JSON object.
std::string formatChanges(const std::vector<document_change>&, bool json);
std::string formatOutcome(const publication_outcome&, bool json);
std::string formatStatus(const fleet_status&, bool json);
std::string formatRequestLines(const std::vector<std::string>& lines, bool json);
std::string formatValidity(const std::string& problem, bool json);

} // namespace kumquat
