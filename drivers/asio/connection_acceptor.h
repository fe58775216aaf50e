#pragma once

#include "core/http_message.h"
#include "core/result.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace kumquat {

// Listens at an address and accepts connections as long as they may be accepted; those beyond wait in the kernel.
class connection_acceptor : public std::enable_shared_from_this<connection_acceptor> {
public:
    struct handlers {
        // Whether one more connection may be accepted.
        std::function<bool()> mayAccept;
        std::function<void(asio::ip::tcp::socket)> onAccepted;
    };

    connection_acceptor(asio::io_context& context, handlers callbacks)
        : m_acceptor(context)
        , m_callbacks(std::move(callbacks))
    {
    }

    // Starts to listen. Returns an error if the address is not IPv4 or cannot be bound.
    std::optional<error> open(const endpoint&);
    // Accepts the connections that wait now, as far as they may be accepted.
    // Returns whether none is left; at a bound, some are.
    bool acceptWaiting();
    // Accepts connections again if one waits because it could not be accepted.
    void resume();
    // Whether a connection waits because it could not be accepted.
    bool isPaused() const { return m_isPaused; }
    void close();

private:
    void awaitConnection();
    // Accepts the connections that wait, a bounded number a turn.
    void accept();
    // Accepts one connection. Returns whether another one may follow.
    bool acceptOne();

    asio::ip::tcp::acceptor m_acceptor;
    handlers m_callbacks;
    bool m_isPaused = false;
};

} // namespace kumquat
