#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat_bench {

// Bytes from outside that are as expensive to read as their size allows, and the code that reads them.
struct head_form {
    std::string name;
    // Returns input of about that many bytes.
    std::function<std::string(std::size_t bytes)> make;
    std::function<void(std::string_view)> read;
};

// The worst heads and bodies of callers and of upstreams.
std::vector<head_form> headForms();

} // namespace kumquat_bench
