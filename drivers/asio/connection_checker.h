#pragma once

#include "core/clock.h"
#include "core/connection_outcome.h"
#include "core/http_message.h"
#include "drivers/asio/reactor.h"

#include <functional>

namespace kumquat {

// Opens TCP connections and closes them again, to see whether a process listens at an address.
class connection_checker {
public:
    explicit connection_checker(reactor&);

    // Calls the handler on the reactor's thread, once, within the timeout.
    void start(const endpoint&, duration timeout, std::function<void(connection_outcome)> handler);

private:
    reactor& m_reactor;
};

} // namespace kumquat
