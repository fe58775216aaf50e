#pragma once

#include <httplib.h>

namespace kumquat {

// Adapts a socket to the HTTP library's stream interface, with read and write timeouts in milliseconds against slow
// peers. Does not own the socket. The library's own adapter is not public.
class connection_stream final : public httplib::Stream {
public:
    connection_stream(socket_t, int readTimeoutMs, int writeTimeoutMs);

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* data, size_t size) override;
    ssize_t write(const char* data, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return m_socket; }

private:
    socket_t m_socket;
    int m_readTimeoutMs;
    int m_writeTimeoutMs;
};

// Returns whether the peer has closed its side of the connection or the connection has failed. Neither blocks nor consumes
// data.
bool isClosedByPeer(socket_t);

// Waits up to the timeout until a read of the socket would not block; returns whether that is so.
bool waitReadable(socket_t, int timeoutMs);

} // namespace kumquat
