#include "drivers/http/admin_server.h"

#include <httplib.h>
#include <sys/socket.h>
#include <thread>

namespace kumquat {

namespace {

    constexpr std::size_t threadCount = 2;

} // namespace

struct admin_server::implementation {
    httplib::Server server;
    std::thread thread;
};

admin_server::admin_server(std::unique_ptr<implementation> contents)
    : m_implementation(std::move(contents))
{
}

result<std::unique_ptr<admin_server>> admin_server::open(const std::string& host, int port, handlers callbacks)
{
    auto contents = std::make_unique<implementation>();
    auto& server = contents->server;
    server.new_task_queue = [] { return new httplib::ThreadPool(threadCount); };
    server.set_socket_options([](socket_t socket) {
        const int enabled = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    });
    server.Get("/healthz", [](const httplib::Request&, httplib::Response& response) { response.set_content("ok\n", "text/plain"); });
    server.Get("/readyz", [isReady = std::move(callbacks.isReady)](const httplib::Request&, httplib::Response& response) {
        const bool ready = isReady();
        response.status = ready ? 200 : 503;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    server.Get("/metrics", [text = std::move(callbacks.metricsText)](const httplib::Request&, httplib::Response& response) { response.set_content(text(), "text/plain; version=0.0.4"); });
    server.Get("/dump", [text = std::move(callbacks.dumpText)](const httplib::Request&, httplib::Response& response) { response.set_content(text(), "application/json"); });
    if (!server.bind_to_port(host, port))
        return error { "cannot listen for admin requests at " + host + ":" + std::to_string(port) + ": the address is in use or not available" };
    return std::unique_ptr<admin_server>(new admin_server(std::move(contents)));
}

admin_server::~admin_server()
{
    m_implementation->server.stop();
    if (m_implementation->thread.joinable())
        m_implementation->thread.join();
}

void admin_server::start()
{
    m_implementation->thread = std::thread([raw = m_implementation.get()] { raw->server.listen_after_bind(); });
}

} // namespace kumquat
