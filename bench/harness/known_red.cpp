#include "bench/harness/known_red.h"

#include <fstream>

namespace kumquat_bench {

known_red::known_red(const std::string& path)
{
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        const auto end = line.find(" |");
        if (end != std::string::npos)
            m_ids.insert(line.substr(0, end));
    }
}

} // namespace kumquat_bench
