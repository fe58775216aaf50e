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

// What the operators' tools do with the store and the nodes. Calls block.
class fleet_client {
public:
    explicit fleet_client(operator_settings);

    // Reads the store's document; version 0 when there is none.
    result<stored_object> readDocument() const;
    nodes_answered askNodes() const;
    // Publishes a document that has been validated and returns what is proven of the outcome.
    publication_outcome publish(const std::string& documentText, const std::string& operatorName, std::optional<std::uint64_t> baseGeneration) const;

private:
    publisher_event perform(const read_publication&) const;
    publisher_event perform(const write_publication&, const std::string& documentText) const;

    operator_settings m_settings;
    object_api_client m_store;
};

} // namespace kumquat
