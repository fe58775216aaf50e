#include "drivers/asio/datagram_port.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

namespace kumquat {

namespace {

    // Larger than any UDP payload, so that no datagram is truncated.
    constexpr std::size_t maxDatagramBytes = 65536;

    using udp = asio::ip::udp;

} // namespace

struct datagram_port::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& context, receiver onReceived)
        : socket(context)
        , onReceived(std::move(onReceived))
    {
    }

    void awaitDatagrams()
    {
        socket.async_wait(udp::socket::wait_read, [self = shared_from_this()](const asio::error_code& failure) {
            if (failure)
                return;
            self->receiveQueued();
            self->awaitDatagrams();
        });
    }

    // Reads all datagrams that the kernel has queued, until the non-blocking socket reports that there are none.
    void receiveQueued()
    {
        for (;;) {
            udp::endpoint sender;
            asio::error_code failure;
            const auto size = socket.receive_from(asio::buffer(buffer), sender, 0, failure);
            if (failure)
                return;
            onReceived(sender.address().to_string(), std::string(buffer.data(), size));
        }
    }

    udp::socket socket;
    receiver onReceived;
    std::array<char, maxDatagramBytes> buffer {};
};

datagram_port::datagram_port(std::shared_ptr<implementation> opened)
    : m_implementation(std::move(opened))
{
}

datagram_port::~datagram_port()
{
    asio::error_code ignored;
    m_implementation->socket.close(ignored);
}

result<std::unique_ptr<datagram_port>> datagram_port::open(reactor& loop, const endpoint& address, receiver onReceived)
{
    auto opened = std::make_shared<implementation>(loop.context(), std::move(onReceived));
    asio::error_code failure;
    const udp::endpoint local(asio::ip::make_address_v4(address.host, failure), address.port);
    if (!failure)
        opened->socket.open(udp::v4(), failure);
    if (!failure)
        opened->socket.bind(local, failure);
    if (!failure)
        opened->socket.non_blocking(true, failure);
    if (failure)
        return error { "cannot receive datagrams on '" + formatEndpoint(address) + "': " + failure.message() };
    opened->awaitDatagrams();
    return std::unique_ptr<datagram_port>(new datagram_port(std::move(opened)));
}

void datagram_port::send(const endpoint& target, const std::string& bytes)
{
    asio::error_code failure;
    const udp::endpoint remote(asio::ip::make_address_v4(target.host, failure), target.port);
    if (failure)
        return;
    m_implementation->socket.send_to(asio::buffer(bytes), remote, 0, failure);
}

} // namespace kumquat
