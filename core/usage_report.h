#pragma once

#include "core/duty_record.h"

#include <cstdint>

namespace kumquat::duties {

// The report of one window to the platform's API.
struct usage_report {
    std::uint64_t window = 0;
    usage_counts counts;
    std::uint64_t fencingToken = 0;
};

} // namespace kumquat::duties
