#pragma once

#include <string>

namespace kumquat {

// A header whose value the server echoes in its answer to the call. An answer with another value belongs to an earlier
// call on the same connection and is skipped. One without the header may belong to an earlier call if the connection has carried one;
// it fails the call, whose outcome is unknown. An empty header name or value disables the check.
struct expected_header {
    std::string header;
    std::string value;
};

} // namespace kumquat
