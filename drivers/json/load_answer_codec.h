#pragma once

#include <cstdint>
#include <string>

namespace kumquat {

// What the load tool reads of one event or error body of an entry. Fields that are absent are empty.
struct load_event {
    std::string text;
    std::string errorCode;
    std::string errorRan;
    std::uint32_t announcedTokens = 0;
};

load_event parseLoadEvent(const std::string& data);

} // namespace kumquat
