#pragma once

#include "core/operator_settings.h"
#include "core/result.h"
#include "drivers/http/object_api_client.h"
#include "servers/config/publisher_effect.h"
#include "servers/config/publisher_event.h"

#include <cstdint>
#include <optional>
#include <string>

namespace kumquat {

// Accesses the store and the nodes for the operators' tools. All calls block.
class fleet_client {
public:
    explicit fleet_client(operator_settings);

    // Reads the store's document. The version is 0 when there is none.
    result<stored_object> readDocument() const;
    // Reads the document version in force on every node of the settings.
    nodes_answered askNodes() const;
    // Publishes a validated document and returns the proven outcome, or publication_unknown.
    publication_outcome publish(const std::string& documentText, const std::string& operatorName, std::optional<std::uint64_t> baseGeneration) const;

private:
    publisher_event perform(const read_publication&) const;
    publisher_event perform(const write_publication&, const std::string& documentText) const;

    operator_settings m_settings;
    object_api_client m_store;
};

} // namespace kumquat
