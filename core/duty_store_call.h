#pragma once

#include "core/duty_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace kumquat::duties {

// Read the duty record.
struct read_duty_record { };

// Write the duty record, if it is still the one of that revision.
struct write_duty_record {
    // Absent if the record is to be created.
    std::optional<std::uint64_t> replacedRevision;
    duty_record record;
};

using duty_store_call = std::variant<read_duty_record, write_duty_record>;

// The write has taken effect.
struct duty_record_written {
    std::uint64_t revision = 0;
};

// The store has no duty record.
struct duty_record_absent { };

// There was no answer, or one from which nothing follows. A write may have taken effect or still do so.
struct duty_call_failed {
    std::string reason;
};

// A record is the answer to a read, and to a write whose condition did not hold.
using duty_store_answer = std::variant<stored_duty_record, duty_record_written, duty_record_absent, duty_call_failed>;

} // namespace kumquat::duties
