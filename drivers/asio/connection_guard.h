#pragma once

#include "core/connection_budget.h"

#include <functional>
#include <string>
#include <vector>

namespace kumquat {

// Applies the decisions of one connection_budget to the servers and clients of a process, which are its owners.
class connection_guard {
public:
    // Connections of one side that were closed together, because the process is at a bound.
    struct closing {
        // "memory" or "descriptors".
        std::string bound;
        connection_side side = connection_side::caller;
        std::size_t connections = 0;
        // What all connections held before, those that were closed, and the largest of these.
        std::size_t heldBytes = 0;
        std::size_t closedBytes = 0;
        std::size_t largestBytes = 0;
    };

    explicit connection_guard(std::function<void(const closing&)> onClosed)
        : m_onClosed(std::move(onClosed))
    {
    }

    connection_budget& budget() { return m_budget; }
    // Adds a server or client, and returns its number in connection keys. The function closes one of its connections.
    std::uint32_t addOwner(std::function<void(std::uint64_t id)> closeConnection);
    // Closes what has to be closed at a bound, and ends what was received there. `acceptWaits` says that a caller waits to be accepted.
    void relieve(bool acceptWaits, instant now);

private:
    connection_budget m_budget;
    std::vector<std::function<void(std::uint64_t id)>> m_owners;
    std::function<void(const closing&)> m_onClosed;
};

// Returns how many descriptors the process may open.
std::size_t readDescriptorLimit();
// Returns the memory of the machine in bytes.
std::size_t readMachineMemory();

} // namespace kumquat
