#include "drivers/asio/connection_checker.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

namespace kumquat {

namespace {

    using tcp = asio::ip::tcp;

    struct pending_check {
        tcp::socket socket;
        asio::steady_timer timer;
        // Empty once it was called.
        std::function<void(connection_outcome)> handler;

        explicit pending_check(asio::io_context& context)
            : socket(context)
            , timer(context)
        {
        }

        void finish(connection_outcome outcome)
        {
            const auto finished = std::exchange(handler, nullptr);
            if (!finished)
                return;
            asio::error_code ignored;
            socket.close(ignored);
            timer.cancel();
            finished(outcome);
        }
    };

    connection_outcome outcomeOf(const asio::error_code& failure)
    {
        if (!failure)
            return connection_outcome::accepted;
        return failure == asio::error::connection_refused ? connection_outcome::refused : connection_outcome::unknown;
    }

} // namespace

connection_checker::connection_checker(reactor& loop)
    : m_reactor(loop)
{
}

void connection_checker::start(const endpoint& target, duration timeout, std::function<void(connection_outcome)> handler)
{
    const auto check = std::make_shared<pending_check>(m_reactor.context());
    check->handler = std::move(handler);
    asio::error_code failure;
    const tcp::endpoint remote(asio::ip::make_address_v4(target.host, failure), target.port);
    if (failure) {
        asio::post(m_reactor.context(), [check] { check->finish(connection_outcome::unknown); });
        return;
    }
    check->timer.expires_after(timeout);
    check->timer.async_wait([check](const asio::error_code& cancelled) {
        if (!cancelled)
            check->finish(connection_outcome::unknown);
    });
    check->socket.async_connect(remote, [check](const asio::error_code& result) { check->finish(outcomeOf(result)); });
}

} // namespace kumquat
