#pragma once

#include "core/caller_request.h"
#include "core/result.h"
#include "servers/entry/entry_effect.h"

#include <functional>
#include <memory>
#include <string>

namespace kumquat {

// HTTP server for callers, with one thread for each active connection. It passes requests to the handlers, which are
// called on connection threads, and receives the parts of their answers through deliver(), which may be called from any
// thread.
class caller_server {
public:
    struct options {
        std::string host;
        int port = 0;
        std::size_t bodyLimitBytes = 0;
        std::size_t maxThreads = 0;
    };
    struct handlers {
        std::function<void(channel_id, caller_request)> onRequest;
        // The caller has disconnected before its answer was complete.
        std::function<void(channel_id)> onDisconnected;
    };

    // Binds the port; fails if the address is in use or not available.
    static result<std::unique_ptr<caller_server>> open(const options&, handlers);
    ~caller_server();

    // Starts accepting connections on a separate thread.
    void start();
    // Queue one part of an answer for the item's channel. Ignored when the channel is closed, because the caller has
    // disconnected.
    void deliver(const begin_answer&);
    void deliver(const append_answer&);
    void deliver(const finish_answer&);
    void deliver(const fail_answer&);
    // Stops accepting connections; answers in progress continue.
    void stopListening();
    // Waits until every answer in progress has been written. Call stopListening() first.
    void join();

private:
    struct implementation;
    explicit caller_server(std::unique_ptr<implementation>);
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kumquat
