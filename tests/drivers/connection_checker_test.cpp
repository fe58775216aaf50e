#include "drivers/asio/connection_checker.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

using namespace kumquat;
using asio::ip::tcp;

namespace {

connection_outcome check(const std::string& host, std::uint16_t port, duration timeout = std::chrono::seconds(5))
{
    reactor loop;
    connection_checker checker(loop);
    auto result = connection_outcome::unknown;
    checker.start({ host, port }, timeout, [&](connection_outcome outcome) {
        result = outcome;
        loop.stop();
    });
    loop.run();
    return result;
}

} // namespace

TEST_CASE("a connection check tells a listening process from a port without one", "[http]")
{
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address_v4("127.0.0.1"), 0 });
    const auto port = acceptor.local_endpoint().port();
    CHECK(check("127.0.0.1", port) == connection_outcome::accepted);
    acceptor.close();
    CHECK(check("127.0.0.1", port) == connection_outcome::refused);
}

TEST_CASE("a connection check of an address that can't be read has no result", "[http]")
{
    CHECK(check("no-address", 1) == connection_outcome::unknown);
}
