// Case 13. The store and two model workers of a small deployment, ordinary callers, and a crowd of callers that are not controlled: they
// have no key, and ask for a path without a route. With trouble each sends a body in chunks, and stops in the trailer section behind the
// last chunk; without it, the same request with a short trailer and its end. The platform kills a router that exceeds its machine's
// memory. Judges LOST for the ordinary callers.
//
// usage: trailers RECORD MEMORY_MB ROUTER_PID STORE_PORT HOST:FRONT:READY WORKER_PORT_0..1

#include "memory.hpp"

using namespace stand_in;

namespace {

constexpr int crowdCallers = 1500;
constexpr std::size_t trailerBytes = 78000;

json config()
{
    return { { "Version", 1 }, { "Routes", json::array({ digestRoute() }) }, { "Services", json::array({ modelService() }) }, { "Tenants", json::array({ { { "Name", "t1" }, { "ApiKeys", { "key1" } } } }) }, { "Limits", limits() } };
}

std::string requestOf(int number)
{
    const auto start = "POST /nowhere HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c" + std::to_string(number) + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Note: ";
    return hasTrouble() ? start + std::string(trailerBytes, 't') : start + "short\r\n\r\n";
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
    std::vector<std::unique_ptr<server>> workers;
    platform.put("config", "main", config());
    for (int number = 6; number < argumentCount; ++number) {
        const int port = std::atoi(arguments[number]);
        workers.push_back(std::make_unique<server>("127.0.0.1", port, [&reached](int socket) {
            reader input(socket);
            while (const auto head = input.readHead()) {
                if (!input.readBytes(static_cast<std::size_t>(std::atoi(head->value("content-length").c_str()))))
                    return;
                const auto id = head->value("x-attempt-id");
                reached.add(id);
                sleepMs(firstEventMs);
                if (!sendStream(socket, id, ordinaryEvents, 50))
                    return;
            }
        }));
        workers.back()->start();
        platform.put("servers", "w" + std::to_string(number - 6), serverEntry("llm", port, "ready", "v1", 1000, 64));
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
    notes.write("the router holds " + std::to_string(bound.highestKb()) + " KB; " + std::to_string(crowdCallers) + " callers send one request of " + std::to_string(requestOf(0).size()) + " bytes each, without a key, to a path without a route");
    std::vector<int> sockets;
    for (int number = 0; number < crowdCallers && !bound.hasKilled(); ++number) {
        const int socket = connectTo(router.host, router.front);
        if (socket < 0)
            continue;
        sendAll(socket, requestOf(number));
        sockets.push_back(socket);
    }
    notes.write(std::to_string(sockets.size()) + " of the crowd have sent");
    ordinary.judge(notes, reached, bound);
}
