#pragma once

#include <set>
#include <string>

namespace kumquat_bench {

// The faults that KNOWN-RED.txt lists. Each entry is a line that begins with its identifier, followed by " |".
class known_red {
public:
    // A file that does not exist lists nothing.
    explicit known_red(const std::string& path);

    bool contains(const std::string& id) const { return m_ids.contains(id); }

private:
    std::set<std::string> m_ids;
};

} // namespace kumquat_bench
