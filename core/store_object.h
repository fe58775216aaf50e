#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace kumquat {

// What is kept in the store.
enum class store_kind { upstreams,
    configuration };

// An object of the store that holds nothing usable.
struct invalid_object {
    std::string reason;
};

struct removed_object { };

// One object of the store, or the news that it is gone.
template <typename Value>
struct store_entry {
    std::string name;
    std::uint64_t revision = 0;
    std::variant<Value, invalid_object, removed_object> content;
};

// Part of a list. The next part starts after the last name.
template <typename Value>
struct store_page {
    std::vector<store_entry<Value>> entries;
    bool more = false;
    // The revision of the store at which the list holds.
    std::uint64_t revision = 0;
};

// What has changed up to a revision.
template <typename Value>
struct store_changes {
    std::vector<store_entry<Value>> entries;
    std::uint64_t revision = 0;
};

// The store no longer knows the changes since the revision that was asked for.
struct store_history_lost { };

struct store_read_failed {
    std::string reason;
};

template <typename Value>
using store_read_outcome = std::variant<store_page<Value>, store_changes<Value>, store_history_lost, store_read_failed>;

} // namespace kumquat
