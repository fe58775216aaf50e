// Case 13. The store and one worker of a small deployment, and a crowd of callers that are not controlled: they have no key, and ask for a
// path without a route. With trouble each sends a body in chunks, and stops in the trailer section behind the last chunk; without it, the
// same request with a short trailer and its end. Judges the memory of the router's process against that of its machine.
//
// usage: trailers RECORD MEMORY_MB ROUTER_PID STORE_PORT HOST:FRONT:READY WORKER_PORT

#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr int callers = 1500;
constexpr std::size_t trailerBytes = 78000;
constexpr int heldMs = 4000;

json config()
{
    const json route { { "Name", "lookup" }, { "Host", "h.example" }, { "PathPrefix", "/lookup/" }, { "Kind", "idempotent" }, { "TimeoutMs", 1000 }, { "SloMs", 100 }, { "Priority", 2 }, { "MaxAttempts", 2 }, { "Service", "app" } };
    return { { "Version", 1 }, { "Routes", json::array({ route }) }, { "Services", json::array({ { { "Name", "app" }, { "HealthPath", "/healthz" }, { "MaxConns", 100 } } }) }, { "Tenants", json::array({ { { "Name", "t1" }, { "ApiKeys", { "key1" } } } }) }, { "Limits", limits() } };
}

void serveLookup(int socket)
{
    reader input(socket);
    while (const auto head = input.readHead()) {
        const auto id = head->value("x-attempt-id");
        if (!sendAll(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Length: 2\r\n\r\nok"))
            return;
    }
}

std::string requestOf(int number)
{
    const auto start = "POST /nowhere HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c" + std::to_string(number) + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Note: ";
    return hasTrouble() ? start + std::string(trailerBytes, 't') : start + "short\r\n\r\n";
}

// The status of an ordinary request, or 0 without an answer.
int askOrdinary(const std::string& host, int front, const std::string& id)
{
    const int socket = connectTo(host, front);
    if (socket < 0)
        return 0;
    timeval wait { 2, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    sendAll(socket, "GET /lookup/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nAuthorization: Bearer key1\r\nX-Deadline-Ms: 1000\r\n\r\n");
    reader input(socket);
    const auto head = input.readHead();
    ::close(socket);
    return head ? head->status() : 0;
}

// A figure of the process in kilobytes (of 1,024 bytes), or nothing if it has ended.
std::optional<long> processKb(const std::string& pid, const std::string& name)
{
    std::ifstream file("/proc/" + pid + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name + ":"))
            return std::atol(line.substr(name.size() + 1).c_str());
    }
    return std::nullopt;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 7)
        return exitNotRun;
    record notes(arguments[1]);
    const long memoryMb = std::atol(arguments[2]);
    const std::string pid = arguments[3];
    store platform("127.0.0.1", std::atoi(arguments[4]));
    std::istringstream address(arguments[5]);
    std::string host;
    std::string front;
    std::string ready;
    std::getline(address, host, ':');
    std::getline(address, front, ':');
    std::getline(address, ready, ':');
    const int port = std::atoi(front.c_str());
    const int workerPort = std::atoi(arguments[6]);
    server worker("127.0.0.1", workerPort, serveLookup);
    worker.start();
    platform.put("config", "main", config());
    platform.put("servers", "w0", serverEntry("app", workerPort, "ready", "v1", 1000, 6));
    platform.start();
    if (!awaitReady(host, std::atoi(ready.c_str()), 15) || askOrdinary(host, port, "before") != 200) {
        notes.write("the router does not serve");
        finish(exitNotRun);
    }
    notes.write("the router holds " + std::to_string(processKb(pid, "VmHWM").value_or(0)) + " KB before the crowd comes");
    notes.write(std::to_string(callers) + " callers send one request of " + std::to_string(requestOf(0).size()) + " bytes each, without a key, to a path without a route");
    std::vector<int> sockets;
    for (int number = 0; number < callers; ++number) {
        const int socket = connectTo(host, port);
        if (socket < 0)
            continue;
        sendAll(socket, requestOf(number));
        sockets.push_back(socket);
    }
    sleepMs(heldMs);
    notes.write("an ordinary request beside the crowd is answered " + std::to_string(askOrdinary(host, port, "beside")));
    const auto highest = processKb(pid, "VmHWM");
    if (!highest) {
        notes.write("the router's process has ended");
        finish(exitBroken);
    }
    // Megabytes are taken as the larger ones.
    const bool isOver = *highest > memoryMb * 1024;
    notes.write("highest resident memory " + std::to_string(*highest) + " KB, the machine has " + std::to_string(memoryMb) + " MB: " + (isOver ? "over the limit" : "within it"));
    finish(isOver ? exitBroken : exitHeld);
}
