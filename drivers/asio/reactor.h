#pragma once

#include "core/clock.h"

#include <functional>
#include <memory>
#include <optional>

namespace asio {
class io_context;
}

namespace kumquat {

// Runs functions one after another on the thread that calls run(). Wraps an Asio context, one timer and the
// termination signals. Everything but post() and stop() belongs to that thread.
class reactor {
public:
    reactor();
    ~reactor();
    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;

    // Queues a function. Safe to call from any thread.
    void post(std::function<void()>);
    // Arms the only timer; a new call replaces the earlier one, and nothing disarms it.
    void setTimer(std::optional<instant> at, std::function<void()> onDue);
    // Calls the function at each SIGTERM or SIGINT.
    void onTerminate(const std::function<void()>&);
    // Calls the function at each SIGHUP.
    void onHangup(const std::function<void()>&);
    // For the other drivers that run on this thread.
    asio::io_context& context();
    void run();
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
