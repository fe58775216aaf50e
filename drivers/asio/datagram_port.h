#pragma once

#include "core/http_message.h"
#include "core/result.h"
#include "drivers/asio/reactor.h"

#include <functional>
#include <memory>
#include <string>

namespace kumquat {

// Sends and receives UDP datagrams over IPv4 on the reactor's thread. The socket never blocks: a datagram that the
// kernel does not accept immediately, or whose target host is not an IPv4 address, is dropped without an error.
class datagram_port {
public:
    // Called for each datagram with the IPv4 address of its sender and its payload.
    using receiver = std::function<void(const std::string& host, const std::string& bytes)>;

    // Binds a socket to the address. Returns an error if the address is not IPv4 or cannot be bound.
    static result<std::unique_ptr<datagram_port>> open(reactor&, const endpoint&, receiver);
    ~datagram_port();

    void send(const endpoint&, const std::string& bytes);

private:
    struct implementation;
    explicit datagram_port(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace kumquat
