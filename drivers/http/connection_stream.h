#pragma once

#include <httplib.h>

namespace kumquat {

// A socket as the HTTP library wants it, with timeouts against slow peers. The library's own class is not public.
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

// Returns whether the peer has closed its side of the connection.
bool isClosedByPeer(socket_t);

// Waits until the socket can be read, at most for the given time.
bool waitReadable(socket_t, int timeoutMs);

} // namespace kumquat
