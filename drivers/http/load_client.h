#pragma once

#include "servers/load/load_experiment.h"
#include "servers/load/load_outcome.h"

#include <cstdint>
#include <string>

namespace kumquat {

// Sends one request of a load experiment to an entry, waits for the complete answer and returns its outcome. An empty
// idempotency key is not sent. The entry is a URL such as http://127.0.0.1:8080.
load_outcome sendLoadRequest(const std::string& entry, const load_stream&, std::uint64_t number, const std::string& idempotencyKey);

} // namespace kumquat
