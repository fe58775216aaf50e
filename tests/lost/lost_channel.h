#pragma once

// Asio takes clang for a compiler without coroutines, up to the version that the linter is of.
#ifdef __clang__
#define ASIO_HAS_CO_AWAIT 1
#define ASIO_HAS_STD_COROUTINE 1
#endif

#include <array>
#include <asio/awaitable.hpp>
#include <asio/buffer.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <cerrno>
#include <cstdlib>
#include <functional>
#include <httplib.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <tuple>
#include <utility>

inline constexpr auto lostAwait = asio::experimental::as_tuple(asio::use_awaitable);

struct lost_head {
    std::string firstLine;
    httplib::Headers fields;

    std::string value(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    int status() const { return firstLine.size() > 9 ? std::atoi(firstLine.c_str() + 9) : 0; }
    bool isChunked() const { return value("Transfer-Encoding") == "chunked"; }
    bool closes() const { return value("Connection") == "close"; }
};

// A connection that reads and writes messages of HTTP/1.1, and remembers how it ended.
class lost_channel {
public:
    explicit lost_channel(asio::ip::tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }

    asio::ip::tcp::socket& socket() { return m_socket; }
    // The error of the first read that failed: the end of the connection is orderly only with asio::error::eof.
    const asio::error_code& failure() const { return m_failure; }

    // Whether the kernel has bytes or the end of the connection that have not been read.
    bool isReadable()
    {
        char byte = 0;
        return !m_buffer.empty() || ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || errno != EAGAIN;
    }

    asio::awaitable<bool> send(std::string bytes)
    {
        const auto [failure, size] = co_await asio::async_write(m_socket, asio::buffer(bytes), lostAwait);
        co_return !failure;
    }

    asio::awaitable<std::optional<lost_head>> readHead()
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!co_await fill())
                co_return std::nullopt;
        }
        lost_head head;
        const auto text = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        std::size_t begin = text.find("\r\n");
        head.firstLine = text.substr(0, begin);
        for (begin += 2; begin < text.size();) {
            const auto lineEnd = text.find("\r\n", begin);
            const auto line = text.substr(begin, lineEnd - begin);
            const auto colon = line.find(':');
            if (colon != std::string::npos)
                head.fields.emplace(line.substr(0, colon), line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size())));
            begin = lineEnd + 2;
        }
        co_return head;
    }

    // Returns whether the body was read to its end. A body without a length or chunks has none, as in requests.
    asio::awaitable<bool> readBody(const lost_head& head, std::function<void(const std::string&)> take = {})
    {
        if (!head.isChunked())
            co_return co_await readBytes(std::strtoull(head.value("Content-Length").c_str(), nullptr, 10), take);
        while (true) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!co_await fill())
                    co_return false;
            }
            const auto size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            m_buffer.erase(0, end + 2);
            if (!co_await readBytes(size, take) || !co_await readBytes(2, {}))
                co_return false;
            if (size == 0)
                co_return true;
        }
    }

    // Reads more bytes. Returns whether there were any before the connection ended.
    asio::awaitable<bool> fill()
    {
        std::array<char, 16384> bytes {};
        const auto [failure, size] = co_await m_socket.async_read_some(asio::buffer(bytes), lostAwait);
        m_buffer.append(bytes.data(), size);
        if (failure)
            m_failure = failure;
        co_return !failure;
    }

private:
    asio::awaitable<bool> readBytes(std::size_t size, const std::function<void(const std::string&)>& take)
    {
        while (size > 0) {
            if (m_buffer.empty() && !co_await fill())
                co_return false;
            const auto piece = m_buffer.substr(0, size);
            m_buffer.erase(0, piece.size());
            size -= piece.size();
            if (take)
                take(piece);
        }
        co_return true;
    }

    asio::ip::tcp::socket m_socket;
    std::string m_buffer;
    asio::error_code m_failure;
};
