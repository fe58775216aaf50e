#pragma once

#include "core/clock.h"

#include <array>
#include <optional>

namespace kumquat::router {

// What a router has only from the store, and on which a promise with a time limit depends.
enum class knowledge { configuration,
    upstream_records };

inline constexpr std::array knowledgeKinds { knowledge::configuration, knowledge::upstream_records };

// Returns the name of the kind in logs and metrics.
const char* toString(knowledge);

// How old one kind of knowledge is.
struct knowledge_age {
    knowledge kind {};
    // The time since the store is known to have had nothing newer. Absent if that was never so.
    std::optional<duration> age;
    // The oldest that it may be while the store answers.
    duration maxAge {};

    bool isOutdated() const { return !age || *age >= maxAge; }
};

} // namespace kumquat::router
