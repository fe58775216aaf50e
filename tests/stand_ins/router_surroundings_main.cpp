// Stands in for the store and for one upstream of a router. The store publishes a configuration with one route, /read/, whose answers
// depend on the path: /read/large has an answer of 8 MB, /read/hold is answered late, and any other path at once. The store prints each
// write of the record of duties and does not answer it.

// The crowd's connections to the upstream are opened at the same time.
#undef CPPHTTPLIB_LISTEN_BACKLOG
#define CPPHTTPLIB_LISTEN_BACKLOG 512

#include <chrono>
#include <cstdlib>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace {

using nlohmann::json;

constexpr std::size_t largeAnswerBytes = 8'000'000;
constexpr auto holdTime = std::chrono::seconds(6);
// Longer than a router waits for the answer to a write.
constexpr auto unansweredTime = std::chrono::seconds(60);
constexpr auto watchTime = std::chrono::milliseconds(500);
// One thread serves each connection, and the largest crowd has 400.
constexpr int upstreamThreads = 420;

// The default limits of the size and the time of callers' requests, stated explicitly.
json configSpec()
{
    const json route { { "Name", "read" }, { "Host", "h" }, { "PathPrefix", "/read/" }, { "Kind", "idempotent" }, { "TimeoutMs", 20000 }, { "Service", "app" }, { "MaxAttempts", 2 } };
    const json limits { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 4194304 }, { "HeaderTimeoutMs", 3000 }, { "IdleTimeoutMs", 15000 } };
    return { { "Version", 1 }, { "Routes", { route } }, { "Services", { { { "Name", "app" }, { "MaxConns", 1000 } } } }, { "Tenants", { { { "Name", "t" }, { "ApiKeys", { "key" } } } } }, { "Limits", limits } };
}

json upstreamSpec(int port)
{
    return { { "Service", "app" }, { "Address", "127.0.0.1:" + std::to_string(port) }, { "Zone", "z" }, { "Version", "v1" }, { "Slots", 1000 }, { "State", "ready" }, { "born", 1 } };
}

json item(const std::string& name, int revision, const json& spec)
{
    return { { "Metadata", { { "Name", name }, { "Revision", revision } } }, { "Spec", spec } };
}

void serveStore(httplib::Server& server, int upstreamPort)
{
    server.new_task_queue = [] { return new httplib::ThreadPool(8); };
    server.Get(R"(/objects/([\w-]+))", [upstreamPort](const httplib::Request& request, httplib::Response& response) {
        response.set_header("Store-Era", "1");
        if (request.has_param("Watch")) {
            std::this_thread::sleep_for(watchTime);
            return response.set_content(json { { "events", json::array() }, { "At", 2 } }.dump(), "application/json");
        }
        json items = json::array();
        if (request.matches[1] == "config")
            items.push_back(item("main", 1, configSpec()));
        if (request.matches[1] == "servers")
            items.push_back(item("w0", 2, upstreamSpec(upstreamPort)));
        response.set_content(json { { "Items", items }, { "HasMore", false }, { "At", 2 } }.dump(), "application/json");
    });
    server.Post("/objects/duties", [](const httplib::Request&, httplib::Response&) {
        std::cout << "duties written" << std::endl;
        std::this_thread::sleep_for(unansweredTime);
    });
}

void answer(const httplib::Request& request, httplib::Response& response)
{
    response.set_header("X-Attempt-Id", request.get_header_value("X-Attempt-Id"));
    // The router takes no success without it.
    response.set_header("X-Response-Seal", "seal-" + request.get_header_value("X-Attempt-Id"));
    if (request.path == "/report")
        return response.set_content("{\"born\":1}", "application/json");
    if (request.path == "/read/hold")
        std::this_thread::sleep_for(holdTime);
    if (request.path != "/read/large")
        return response.set_content("ordinary", "text/plain");
    response.set_content_provider(largeAnswerBytes, "text/plain", [](std::size_t, std::size_t length, httplib::DataSink& sink) {
        static const std::string bytes(65536, 'x');
        return sink.write(bytes.data(), std::min(length, bytes.size()));
    });
}

// Without SO_REUSEPORT, which httplib sets by default: two tests on the same port would share its connections.
void bindAlone(httplib::Server& server, int port)
{
    server.set_socket_options([](socket_t socket) {
        const int reuse = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    });
    if (server.bind_to_port("127.0.0.1", port))
        return;
    std::cerr << "port " << port << " is in use" << std::endl;
    std::exit(2);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 3) {
        std::cerr << "usage: stand-in-router-surroundings STORE_PORT UPSTREAM_PORT\n";
        return 2;
    }
    const int upstreamPort = std::atoi(arguments[2]);
    httplib::Server store;
    serveStore(store, upstreamPort);
    bindAlone(store, std::atoi(arguments[1]));
    httplib::Server upstream;
    upstream.new_task_queue = [] { return new httplib::ThreadPool(upstreamThreads); };
    upstream.Get(".*", answer);
    upstream.Post(".*", answer);
    bindAlone(upstream, upstreamPort);
    std::thread storeThread([&store] { store.listen_after_bind(); });
    upstream.listen_after_bind();
    storeThread.join();
    return 0;
}
