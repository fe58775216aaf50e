#pragma once

#include "core/clock.h"

#include <functional>
#include <memory>
#include <optional>

namespace asio {
class io_context;
}

namespace kumquat {

// An event loop that runs functions one after another on the thread that calls run(). It wraps an Asio context, one timer
// and signal handlers. Only post() and stop() are safe to call from other threads.
class reactor {
public:
    reactor();
    ~reactor();
    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;

    // Queues a function. Safe to call from any thread.
    void post(std::function<void()>);
    // Sets the reactor's only timer. A new call replaces the previous deadline; an empty time disarms the timer.
    void setTimer(std::optional<instant> deadline, std::function<void()> onExpiry);
    // Calls the function at each SIGTERM or SIGINT.
    void onTerminate(const std::function<void()>&);
    // Calls the function at each SIGHUP.
    void onHangup(const std::function<void()>&);
    // The Asio context, for drivers that run on the reactor's thread.
    asio::io_context& context();
    // Runs until stop() is called.
    void run();
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
