// Case 14. The store and nine model workers of the deployment dhammasiri-kumquat, ordinary callers, and a crowd of callers that are not
// controlled. With trouble each of the crowd names as many parts of a prompt as fit into a head of legal size; without it, three. The
// platform kills a router that exceeds its machine's memory. Judges LOST for the ordinary callers.
//
// usage: many-parts RECORD MEMORY_MB ROUTER_PID STORE_PORT HOST:FRONT:READY WORKER_PORT_0..8

#include "memory.hpp"

#include <semaphore>

using namespace stand_in;

namespace {

constexpr int slots = 64;
constexpr int crowdCallers = 1250;
constexpr int crowdEvents = 8;
constexpr int eventMs = 100;
constexpr int firstPartTokens = 350;
constexpr std::size_t maxHeaderBytes = 16384;

json config()
{
    const json search { { "Name", "title-search" }, { "Host", "h.example" }, { "PathPrefix", "/search/" }, { "Kind", "streaming" }, { "Resumable", true }, { "Affinity", true }, { "GapTargetMs", 200 }, { "TimeoutMs", 15000 }, { "SloMs", 400 }, { "Priority", 0 }, { "MaxAttempts", 2 }, { "Service", "llm" } };
    return { { "Version", 1 }, { "Routes", json::array({ search, digestRoute() }) }, { "Services", json::array({ modelService() }) }, { "Tenants", json::array({ { { "Name", "t1" }, { "ApiKeys", { "key1" } } } }) }, { "Limits", limits() } };
}

// A sound model worker: it runs as many requests at once as it has slots, and queues the others.
class worker {
public:
    worker(int port, arrivals& reached)
        : m_reached(reached)
        , m_server("127.0.0.1", port, [this](int socket) { serve(socket); })
    {
        m_server.start();
    }

private:
    void serve(int socket)
    {
        reader input(socket);
        while (const auto head = input.readHead()) {
            if (!input.readBytes(static_cast<std::size_t>(std::atoi(head->value("content-length").c_str()))))
                return;
            const auto id = head->value("x-attempt-id");
            m_reached.add(id);
            const bool isOrdinary = head->target().starts_with("/digest/");
            m_slots.acquire();
            if (isOrdinary)
                sleepMs(firstEventMs);
            const bool isWhole = sendStream(socket, id, isOrdinary ? ordinaryEvents : crowdEvents, eventMs);
            m_slots.release();
            if (!isWhole)
                return;
        }
    }

    arrivals& m_reached;
    std::counting_semaphore<slots> m_slots { slots };
    server m_server;
};

std::string requestOf(int number, bool hasManyParts)
{
    char subject[16] = {};
    std::snprintf(subject, sizeof subject, "%x", 0x1000 + number);
    // The first part differs, so that the requests spread over the workers.
    std::string parts = std::string(subject) + ":" + std::to_string(firstPartTokens);
    int tokens = firstPartTokens;
    const auto request = [&] { return "POST /search/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c" + std::to_string(number) + "\r\nAuthorization: Bearer key1\r\nX-Model: m\r\nX-Token-Usage: " + std::to_string(tokens) + ",80\r\nX-Deadline-Ms: 15000\r\nContent-Length: 2\r\nX-Prompt-Prefix: " + parts + "\r\n\r\nhi"; };
    const auto others = request().size() - parts.size();
    while (hasManyParts && others + parts.size() + 8 <= maxHeaderBytes) {
        parts += ",1:1";
        ++tokens;
    }
    if (!hasManyParts) {
        parts += ",91bd3f06:700,e4402b7d:410";
        tokens += 700 + 410;
    }
    return request();
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount < 7)
        return exitNotRun;
    record notes(arguments[1]);
    store platform("127.0.0.1", std::atoi(arguments[4]));
    const router_address router(arguments[5]);
    arrivals reached;
    platform.put("config", "main", config());
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 6; number < argumentCount; ++number) {
        const int port = std::atoi(arguments[number]);
        workers.push_back(std::make_unique<worker>(port, reached));
        platform.put("servers", "w" + std::to_string(number - 6), serverEntry("llm", port, "ready", "v1", 1000, slots));
    }
    platform.start();
    if (!awaitReady(router.host, router.ready, 15)) {
        notes.write("the router is not ready");
        finish(exitNotRun);
    }
    sleepMs(500);
    const memory_bound bound(notes, arguments[3], std::atol(arguments[2]));
    notes.write(std::to_string(ordinaryCallers) + " ordinary callers send a request each");
    ordinary_callers ordinary(router.host, router.front);
    sleepMs(500);
    const auto example = requestOf(0, hasTrouble());
    const auto parts = std::count(example.begin() + static_cast<std::ptrdiff_t>(example.find("X-Prompt-Prefix")), example.end(), ':') - 1;
    notes.write("the router holds " + std::to_string(bound.highestKb()) + " KB; " + std::to_string(crowdCallers) + " callers send one request each, with a head of " + std::to_string(example.size() - 2) + " bytes (MaxHeaderBytes is " + std::to_string(maxHeaderBytes) + ") and " + std::to_string(parts) + " parts of a prompt in it");
    std::vector<int> sockets;
    for (int number = 0; number < crowdCallers && !bound.hasKilled(); ++number) {
        const int socket = connectTo(router.host, router.front);
        if (socket < 0)
            continue;
        sendAll(socket, requestOf(number, hasTrouble()));
        sockets.push_back(socket);
    }
    notes.write(std::to_string(sockets.size()) + " of the crowd have sent");
    ordinary.judge(notes, reached, bound);
}
