#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace kumquat::router {

// How many neighbours there are, and at which addresses. Several may have one address for a time, when an instance gets the address
// of another one whose last digest has not expired yet.
class neighbour_addresses {
public:
    void add(const std::string& address)
    {
        ++m_neighbours[address];
        ++m_count;
    }
    // Removes one neighbour that was added with this address.
    void remove(const std::string& address)
    {
        const auto found = m_neighbours.find(address);
        if (found == m_neighbours.end())
            return;
        --m_count;
        if (--found->second == 0)
            m_neighbours.erase(found);
    }

    bool contains(const std::string& address) const { return m_neighbours.contains(address); }
    std::size_t count() const { return m_count; }

private:
    // The number of neighbours at each address.
    std::unordered_map<std::string, std::size_t> m_neighbours;
    std::size_t m_count = 0;
};

} // namespace kumquat::router
