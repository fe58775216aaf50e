#pragma once

#include <set>
#include <string>

namespace kumquat_bench {

// The known failures listed in KNOWN-RED.txt, which the bench reports without failing. An entry is a line that begins
// with its identifier, followed by " |"; other lines are ignored.
class known_red {
public:
    // Reads the list from a file. A missing file counts as an empty list.
    explicit known_red(const std::string& path);

    // Returns whether the list contains this identifier, for example "bench SCENARIO/BOUND".
    bool contains(const std::string& id) const { return m_ids.contains(id); }

private:
    std::set<std::string> m_ids;
};

} // namespace kumquat_bench
