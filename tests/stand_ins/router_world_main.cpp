// The world around routers, for the soak: a store, workers that misbehave by a seed, and callers that check every answer.
// Prints one line of counts and exits with 1 if a promise was broken. A worker's answer to a request is a function of the
// request's id, so that callers know what a whole answer is.

#include <atomic>
#include <cstdlib>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace {

using nlohmann::json;

constexpr int workerCount = 4;
constexpr int callerCount = 12;
constexpr int eventCount = 8;
constexpr int requestDeadlineMs = 1500;

std::string bodyFor(const std::string& id)
{
    return "answer to " + id + std::string(200, '.');
}

std::string eventFor(const std::string& id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
}

// What workers did, by request.
class run_book {
public:
    void noteRun(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[id];
    }

    int runs(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs[id];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
};

run_book book;
std::atomic<int> answered { 0 };
std::atomic<int> refused { 0 };
std::atomic<int> failed { 0 };
std::atomic<int> broken { 0 };

void report(const std::string& promise, const std::string& id)
{
    ++broken;
    std::cout << "broken: " << promise << " request " << id << std::endl;
}

class worker {
public:
    worker(int number, int port, unsigned seed)
        : m_id("w" + std::to_string(number))
        , m_random(seed)
    {
        const auto handler = [this](const httplib::Request& request, httplib::Response& response) { serve(request, response); };
        m_server.Get(".*", handler);
        m_server.Post(".*", handler);
        m_thread = std::thread([this, port] { m_server.listen("127.0.0.1", port); });
    }

    ~worker()
    {
        m_server.stop();
        m_thread.join();
    }

private:
    int draw(int below)
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<int>(m_random() % static_cast<unsigned>(below));
    }

    void serve(const httplib::Request& request, httplib::Response& response)
    {
        const auto id = request.get_header_value("X-Attempt-Id");
        response.set_header("X-Attempt-Id", id);
        if (request.get_header_value("X-Expect-Instance") != m_id) {
            response.status = 421;
            return;
        }
        if (draw(10) == 0) {
            response.status = 503;
            response.set_header("X-Not-Executed", "1");
            return;
        }
        book.noteRun(id);
        std::this_thread::sleep_for(std::chrono::milliseconds(draw(20) == 0 ? 400 : draw(20)));
        response.set_header("X-Response-Seal", "seal-" + id);
        const bool cut = draw(12) == 0;
        if (request.path.starts_with("/stream/"))
            return stream(request, response, id, cut ? draw(eventCount) : eventCount);
        const auto body = bodyFor(id);
        response.set_content_provider(body.size(), "text/plain", [body, cut](std::size_t offset, std::size_t length, httplib::DataSink& sink) {
            sink.write(body.data() + offset, cut ? length / 2 : length);
            return !cut;
        });
    }

    static void stream(const httplib::Request& request, httplib::Response& response, const std::string& id, int events)
    {
        const int first = request.has_header("Last-Event-Id") ? std::atoi(request.get_header_value("Last-Event-Id").c_str()) + 1 : 1;
        response.set_chunked_content_provider("text/event-stream", [id, first, events](std::size_t, httplib::DataSink& sink) {
            for (int number = first; number <= eventCount; ++number) {
                const auto event = eventFor(id, number);
                if (number > events) {
                    sink.write(event.data(), event.size() / 2);
                    return false;
                }
                if (!sink.write(event.data(), event.size()))
                    return false;
                std::this_thread::sleep_for(std::chrono::milliseconds(3));
            }
            sink.done();
            return true;
        });
    }

    std::string m_id;
    httplib::Server m_server;
    std::thread m_thread;
    std::mutex m_mutex;
    std::mt19937 m_random;
};

json workerObject(int number, int port)
{
    return { { "Metadata", { { "Name", "w" + std::to_string(number) }, { "Revision", number + 2 } } },
        { "Spec", { { "Service", "app" }, { "Address", "127.0.0.1:" + std::to_string(port) }, { "Zone", "z" }, { "Slots", 16 }, { "State", "ready" }, { "born", 1 } } } };
}

json configObject()
{
    json routes = json::array();
    for (const auto& [prefix, kind] : std::map<std::string, std::string> { { "/once/", "non_idempotent" }, { "/read/", "idempotent" }, { "/stream/", "streaming" } })
        routes.push_back({ { "Name", kind }, { "Host", "h" }, { "PathPrefix", prefix }, { "Kind", kind }, { "TimeoutMs", requestDeadlineMs }, { "Service", "app" }, { "MaxAttempts", 2 }, { "Resumable", kind == "streaming" } });
    const json tenants = json::array({ { { "Name", "t" }, { "ApiKeys", { "key" } } } });
    return { { "Metadata", { { "Name", "main" }, { "Revision", 2 } } }, { "Spec", { { "Version", 1 }, { "Routes", routes }, { "Services", json::array({ { { "Name", "app" }, { "MaxConns", 100 } } }) }, { "Tenants", tenants } } } };
}

void serveStore(httplib::Server& store, int workerPort)
{
    store.Get(R"(/objects/(\w+))", [workerPort](const httplib::Request& request, httplib::Response& response) {
        if (request.has_param("Watch")) {
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
            response.set_content(json { { "events", json::array() }, { "At", 10 } }.dump(), "application/json");
            return;
        }
        json items = json::array();
        if (request.matches[1] == "config")
            items.push_back(configObject());
        for (int number = 0; number < workerCount && request.matches[1] == "servers"; ++number)
            items.push_back(workerObject(number, workerPort + number));
        response.set_content(json { { "Items", items }, { "HasMore", false }, { "At", 10 } }.dump(), "application/json");
    });
}

void checkAnswer(const std::string& kind, const std::string& id, const httplib::Result& result)
{
    if (!result) {
        ++failed;
        return;
    }
    const int status = result->status;
    if (status == 503 || status == 429 || status == 408 || status == 421) {
        ++refused;
        if (kind != "read" && book.runs(id) > 0)
            report("told not run but ran", id);
        return;
    }
    if (status != 200) {
        ++failed;
        return;
    }
    ++answered;
    std::string expected = bodyFor(id);
    if (kind == "stream") {
        expected.clear();
        for (int number = 1; number <= eventCount; ++number)
            expected += eventFor(id, number);
    }
    if (result->body != expected)
        report(kind + " of " + std::to_string(result->body.size()) + " bytes instead of " + std::to_string(expected.size()) + " to", id);
}

void call(int caller, const std::vector<int>& routers, std::chrono::seconds span, unsigned seed)
{
    std::mt19937 random(seed + static_cast<unsigned>(caller));
    const auto end = std::chrono::steady_clock::now() + span;
    std::map<int, std::unique_ptr<httplib::Client>> clients;
    for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
        static const std::vector<std::string> kinds { "once", "read", "stream" };
        const auto& kind = kinds[random() % kinds.size()];
        const auto id = std::to_string(seed) + "-" + std::to_string(caller) + "-" + std::to_string(number);
        auto& client = clients[routers[random() % routers.size()]];
        if (!client || random() % 8 == 0) {
            client = std::make_unique<httplib::Client>("127.0.0.1", routers[random() % routers.size()]);
            client->set_keep_alive(true);
            client->set_read_timeout(std::chrono::seconds(3));
        }
        const httplib::Headers headers { { "Host", "h" }, { "X-Attempt-Id", id }, { "X-Deadline-Ms", std::to_string(requestDeadlineMs) }, { "Authorization", "Bearer key" } };
        const auto path = "/" + kind + "/x";
        checkAnswer(kind, id, kind == "once" ? client->Post(path, headers, id, "text/plain") : client->Get(path, headers));
        if (kind == "once" && book.runs(id) > 1)
            report("ran twice", id);
        std::this_thread::sleep_for(std::chrono::milliseconds(random() % 30));
    }
}

} // namespace

// Arguments: store port, first worker port, seed, seconds, router ports.
int main(int argumentCount, char** arguments)
{
    if (argumentCount < 6) {
        std::cerr << "usage: stand-in-router-world STORE_PORT WORKER_PORT SEED SECONDS ROUTER_PORT...\n";
        return 2;
    }
    const int storePort = std::atoi(arguments[1]);
    const int workerPort = std::atoi(arguments[2]);
    const auto seed = static_cast<unsigned>(std::atoi(arguments[3]));
    const std::chrono::seconds span(std::atoi(arguments[4]));
    std::vector<int> routers;
    routers.reserve(static_cast<std::size_t>(argumentCount));
    for (int at = 5; at < argumentCount; ++at)
        routers.push_back(std::atoi(arguments[at]));
    httplib::Server store;
    serveStore(store, workerPort);
    std::thread storeThread([&] { store.listen("127.0.0.1", storePort); });
    std::vector<std::unique_ptr<worker>> workers;
    workers.reserve(workerCount);
    for (int number = 0; number < workerCount; ++number)
        workers.push_back(std::make_unique<worker>(number, workerPort + number, seed + 1000 + static_cast<unsigned>(number)));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (int caller = 0; caller < callerCount; ++caller)
        callers.emplace_back(call, caller, routers, span, seed);
    for (auto& caller : callers)
        caller.join();
    std::cout << "answered=" << answered << " refused=" << refused << " failed=" << failed << " broken=" << broken << std::endl;
    store.stop();
    storeThread.join();
    workers.clear();
    return broken == 0 && answered > 0 ? 0 : 1;
}
