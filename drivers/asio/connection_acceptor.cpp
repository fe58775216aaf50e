#include "drivers/asio/connection_acceptor.h"

namespace kumquat {

namespace {

    constexpr int listenBacklog = 1024;
    // Several at a time: a turn of the loop serves each connection that was accepted before, so that those who come behind a crowd would
    // wait for all requests that the crowd sends meanwhile.
    constexpr int acceptsPerTurn = 64;

} // namespace

std::optional<error> connection_acceptor::open(const endpoint& address)
{
    asio::error_code failure;
    const auto host = asio::ip::make_address_v4(address.host, failure);
    if (failure)
        return error { "listen address '" + formatEndpoint(address) + "' is not an IPv4 address and port" };
    const asio::ip::tcp::endpoint local(host, address.port);
    m_acceptor.open(local.protocol(), failure);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    m_acceptor.bind(local, failure);
    if (!failure)
        m_acceptor.listen(listenBacklog, failure);
    if (!failure)
        m_acceptor.non_blocking(true, failure);
    if (failure)
        return error { "cannot listen on '" + formatEndpoint(address) + "': " + failure.message() };
    awaitConnection();
    return std::nullopt;
}

void connection_acceptor::awaitConnection()
{
    m_acceptor.async_wait(asio::ip::tcp::acceptor::wait_read, [self = shared_from_this()](const asio::error_code& failure) {
        if (!failure)
            self->accept();
    });
}

void connection_acceptor::accept()
{
    for (int accepted = 0; accepted < acceptsPerTurn; ++accepted) {
        if (!acceptOne())
            break;
    }
    if (m_acceptor.is_open() && !m_isPaused)
        awaitConnection();
}

bool connection_acceptor::acceptOne()
{
    if (!m_callbacks.mayAccept()) {
        m_isPaused = true;
        return false;
    }
    asio::error_code failure;
    asio::ip::tcp::socket socket(m_acceptor.get_executor());
    m_acceptor.accept(socket, failure);
    // Without a descriptor the connection stays readable, and waiting for it again at once would keep the processor busy.
    if (failure == asio::error::no_descriptors || failure == asio::error::no_buffer_space || failure == asio::error::no_memory) {
        m_isPaused = true;
        return false;
    }
    if (failure)
        return false;
    m_callbacks.onAccepted(std::move(socket));
    return m_acceptor.is_open();
}

bool connection_acceptor::acceptWaiting()
{
    asio::error_code failure;
    for (int accepted = 0; accepted < listenBacklog && m_acceptor.is_open() && m_callbacks.mayAccept(); ++accepted) {
        asio::ip::tcp::socket socket(m_acceptor.get_executor());
        m_acceptor.accept(socket, failure);
        if (failure)
            return failure == asio::error::would_block || failure == asio::error::try_again;
        m_callbacks.onAccepted(std::move(socket));
    }
    return !m_acceptor.is_open();
}

void connection_acceptor::resume()
{
    if (!m_isPaused || !m_acceptor.is_open())
        return;
    m_isPaused = false;
    accept();
}

void connection_acceptor::close()
{
    asio::error_code ignored;
    m_acceptor.close(ignored);
    m_isPaused = false;
}

} // namespace kumquat
