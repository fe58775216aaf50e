// Stands in for a plain HTTP service in tests: it answers each request with a confirmation and counts the executions of each
// path and body. On command it delays its answers or crashes.

#include <cstdlib>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using nlohmann::json;

class counting_service {
public:
    void serve(const httplib::Request& request, httplib::Response& response)
    {
        std::uint64_t number = 0;
        std::chrono::milliseconds delay;
        {
            const std::lock_guard lock(m_mutex);
            m_executions[request.path + " " + request.body]++;
            number = ++m_total;
            delay = m_delay;
        }
        std::this_thread::sleep_for(delay);
        const json body = { { "path", request.path }, { "method", request.method }, { "number", number }, { "echo", request.body } };
        response.set_content(body.dump(), "application/json");
    }

    void applyControl(const httplib::Request& request, httplib::Response& response)
    {
        const auto command = json::parse(request.body, nullptr, false);
        if (command.value("crash", false))
            _exit(1);
        const std::lock_guard lock(m_mutex);
        m_delay = std::chrono::milliseconds(command.value("delay_ms", m_delay.count()));
        response.set_content("{}", "application/json");
    }

    void writeStatistics(httplib::Response& response)
    {
        const std::lock_guard lock(m_mutex);
        response.set_content(json { { "total", m_total }, { "executions", m_executions } }.dump(), "application/json");
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_executions;
    std::uint64_t m_total = 0;
    std::chrono::milliseconds m_delay { 10 };
};

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount < 2) {
        std::cerr << "usage: stand-in-plain-service PORT\n";
        return 2;
    }
    counting_service service;
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(32); };
    server.set_tcp_nodelay(true);
    server.Post("/control", [&](const httplib::Request& request, httplib::Response& response) { service.applyControl(request, response); });
    server.Get("/statistics", [&](const httplib::Request&, httplib::Response& response) { service.writeStatistics(response); });
    const auto serve = [&](const httplib::Request& request, httplib::Response& response) { service.serve(request, response); };
    server.Get("/.*", serve);
    server.Post("/.*", serve);
    server.Put("/.*", serve);
    server.Delete("/.*", serve);
    return server.listen("127.0.0.1", std::atoi(arguments[1])) ? 0 : 1;
}
