#include "drivers/http/connection_stream.h"

#include <arpa/inet.h>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace kumquat {

namespace {

    bool waitForEvents(socket_t socket, short events, int timeoutMs)
    {
        pollfd descriptor { socket, events, 0 };
        int readyCount = 0;
        do {
            readyCount = ::poll(&descriptor, 1, timeoutMs);
        } while (readyCount < 0 && errno == EINTR);
        return readyCount > 0;
    }

    using address_query = int (*)(int, sockaddr*, socklen_t*);

    // Sets the IPv4 address and port of one end of the socket; leaves them unchanged on failure.
    void readAddress(socket_t socket, address_query query, std::string& ip, int& port)
    {
        sockaddr_in address {};
        socklen_t size = sizeof address;
        if (query(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0 || address.sin_family != AF_INET)
            return;
        char text[INET_ADDRSTRLEN] = "";
        ip = ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof text) ? text : "";
        port = ntohs(address.sin_port);
    }

} // namespace

connection_stream::connection_stream(socket_t socket, int readTimeoutMs, int writeTimeoutMs)
    : m_socket(socket)
    , m_readTimeoutMs(readTimeoutMs)
    , m_writeTimeoutMs(writeTimeoutMs)
{
}

bool connection_stream::is_readable() const
{
    return waitForEvents(m_socket, POLLIN, m_readTimeoutMs);
}

bool connection_stream::is_writable() const
{
    return waitForEvents(m_socket, POLLOUT, m_writeTimeoutMs);
}

ssize_t connection_stream::read(char* data, size_t size)
{
    if (!is_readable())
        return -1;
    return ::recv(m_socket, data, size, 0);
}

ssize_t connection_stream::write(const char* data, size_t size)
{
    if (!is_writable())
        return -1;
    return ::send(m_socket, data, size, MSG_NOSIGNAL);
}

void connection_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    readAddress(m_socket, ::getpeername, ip, port);
}

void connection_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    readAddress(m_socket, ::getsockname, ip, port);
}

bool isClosedByPeer(socket_t socket)
{
    char byte = 0;
    const ssize_t received = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received == 0)
        return true;
    return received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

bool waitReadable(socket_t socket, int timeoutMs)
{
    return waitForEvents(socket, POLLIN, timeoutMs);
}

} // namespace kumquat
