#pragma once

#include "servers/load/load_experiment.h"
#include "servers/load/load_outcome.h"

#include <cstdint>
#include <string>

namespace kumquat {

// Sends one request of an experiment to an entry, waits for its whole answer and judges it.
load_outcome sendLoadRequest(const std::string& entry, const load_stream&, std::uint64_t number, const std::string& idempotencyKey);

} // namespace kumquat
