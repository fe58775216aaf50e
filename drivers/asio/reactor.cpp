#include "drivers/asio/reactor.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>

namespace kumquat {

struct reactor::implementation {
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> guard { context.get_executor() };
    asio::steady_timer timer { context };
    asio::signal_set signals { context };
    asio::signal_set hangups { context };

    static void awaitSignal(asio::signal_set& signals, const std::function<void()>& task)
    {
        signals.async_wait([&signals, task](const asio::error_code& failure, int) {
            if (failure)
                return;
            task();
            awaitSignal(signals, task);
        });
    }
};

reactor::reactor()
    : m_implementation(std::make_unique<implementation>())
{
}

reactor::~reactor() = default;

void reactor::post(std::function<void()> task)
{
    asio::post(m_implementation->context, std::move(task));
}

void reactor::setTimer(std::optional<instant> at, std::function<void()> onDue)
{
    m_implementation->timer.cancel();
    if (!at)
        return;
    m_implementation->timer.expires_at(*at);
    m_implementation->timer.async_wait([onDue = std::move(onDue)](const asio::error_code& failure) {
        if (!failure)
            onDue();
    });
}

void reactor::onTerminate(const std::function<void()>& task)
{
    m_implementation->signals.add(SIGTERM);
    m_implementation->signals.add(SIGINT);
    implementation::awaitSignal(m_implementation->signals, task);
}

void reactor::onHangup(const std::function<void()>& task)
{
    m_implementation->hangups.add(SIGHUP);
    implementation::awaitSignal(m_implementation->hangups, task);
}

asio::io_context& reactor::context()
{
    return m_implementation->context;
}

void reactor::run()
{
    m_implementation->context.run();
}

void reactor::stop()
{
    m_implementation->context.stop();
}

} // namespace kumquat
