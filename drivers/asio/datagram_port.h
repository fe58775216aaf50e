#pragma once

#include "core/http_message.h"
#include "core/result.h"
#include "drivers/asio/reactor.h"

#include <functional>
#include <memory>
#include <string>

namespace kumquat {

// Sends and receives datagrams on the reactor's thread. A datagram that can't be sent at once is dropped.
class datagram_port {
public:
    // Called with the sender's address and the bytes.
    using receiver = std::function<void(const std::string& host, const std::string& bytes)>;

    static result<std::unique_ptr<datagram_port>> open(reactor&, const endpoint&, receiver);
    ~datagram_port();

    void send(const endpoint&, const std::string& bytes);

private:
    struct implementation;
    explicit datagram_port(std::shared_ptr<implementation>);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace kumquat
