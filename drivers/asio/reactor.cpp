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
    // Prevents run() from returning while no work is pending.
    asio::executor_work_guard<asio::io_context::executor_type> workGuard { context.get_executor() };
    asio::steady_timer timer { context };
    asio::signal_set terminationSignals { context };
    asio::signal_set hangupSignals { context };

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

void reactor::setTimer(std::optional<instant> deadline, std::function<void()> onExpiry)
{
    m_implementation->timer.cancel();
    if (!deadline)
        return;
    m_implementation->timer.expires_at(*deadline);
    m_implementation->timer.async_wait([onExpiry = std::move(onExpiry)](const asio::error_code& failure) {
        if (!failure)
            onExpiry();
    });
}

void reactor::onTerminate(const std::function<void()>& task)
{
    m_implementation->terminationSignals.add(SIGTERM);
    m_implementation->terminationSignals.add(SIGINT);
    implementation::awaitSignal(m_implementation->terminationSignals, task);
}

void reactor::onHangup(const std::function<void()>& task)
{
    m_implementation->hangupSignals.add(SIGHUP);
    implementation::awaitSignal(m_implementation->hangupSignals, task);
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
