#include "processes/file_reader.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace kumquat {

result<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return error { "file '" + path + "' cannot be read: " + std::strerror(errno) };
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace kumquat
