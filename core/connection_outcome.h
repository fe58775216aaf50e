#pragma once

namespace kumquat {

// What came of an attempt to open a connection.
enum class connection_outcome {
    accepted,
    // The host is up, but no process listens at the port.
    refused,
    // There was no answer in time, or another error.
    unknown
};

} // namespace kumquat
