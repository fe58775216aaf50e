// Case 14. The store and nine model workers of the deployment dhammasiri-kumquat, and a crowd of callers that are not controlled. With
// trouble each of them names as many parts of a prompt as fit into a head of legal size; without it, three. Judges the memory of the
// router's process against that of its machine.
//
// usage: many-parts RECORD MEMORY_MB ROUTER_PID STORE_PORT HOST:FRONT:READY WORKER_PORT_0..8

#include "stand_in.hpp"

#include <semaphore>

using namespace stand_in;

namespace {

constexpr int slots = 64;
constexpr int callers = 1250;
constexpr int events = 8;
constexpr int eventMs = 100;
constexpr std::size_t maxHeaderBytes = 16384;

json config()
{
    const json route { { "Name", "title-search" }, { "Host", "h.example" }, { "PathPrefix", "/search/" }, { "Kind", "streaming" }, { "Resumable", true }, { "Affinity", true }, { "GapTargetMs", 200 }, { "TimeoutMs", 15000 }, { "SloMs", 400 }, { "Priority", 0 }, { "MaxAttempts", 2 }, { "Service", "llm" } };
    const json engine { { "Slots", slots }, { "KvCapacity", 438321 }, { "Stride", 3 } };
    return { { "Version", 1 }, { "Routes", { route } }, { "Services", { { { "Name", "llm" }, { "HealthPath", "/healthz" }, { "MaxConns", 360 }, { "Engine", engine } } } }, { "Tenants", { { { "Name", "t1" }, { "ApiKeys", { "key1" } } } } }, { "Limits", limits() } };
}

// A sound model worker: it runs as many requests at once as it has slots, and queues the others.
class worker {
public:
    explicit worker(int port)
        : m_server("127.0.0.1", port, [this](int socket) { serve(socket); })
    {
        m_server.start();
    }

    int requests() const { return m_requests; }

private:
    void serve(int socket)
    {
        reader input(socket);
        while (const auto head = input.readHead()) {
            if (!input.readBytes(static_cast<std::size_t>(std::atoi(head->value("content-length").c_str()))))
                return;
            ++m_requests;
            const auto id = head->value("x-attempt-id");
            m_slots.acquire();
            bool isWhole = sendAll(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int number = 1; number <= events && isWhole; ++number) {
                sleepMs(eventMs);
                const auto event = "id: " + std::to_string(number) + "\ndata: x\n\n";
                char size[16] = {};
                std::snprintf(size, sizeof size, "%zx\r\n", event.size());
                isWhole = sendAll(socket, size + event + "\r\n");
            }
            isWhole = isWhole && sendAll(socket, "0\r\n\r\n");
            m_slots.release();
            if (!isWhole)
                return;
        }
    }

    std::counting_semaphore<slots> m_slots { slots };
    std::atomic<int> m_requests = 0;
    server m_server;
};

std::string requestOf(int number, bool hasManyParts)
{
    const std::string start = "POST /search/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c" + std::to_string(number) + "\r\nAuthorization: Bearer key1\r\nX-Model: m\r\nX-Token-Usage: 1460,80\r\nX-Deadline-Ms: 15000\r\nContent-Length: 2\r\nX-Prompt-Prefix: ";
    char subject[16] = {};
    std::snprintf(subject, sizeof subject, "%x", 0x1000 + number);
    // The first part differs, so that the requests spread over the workers.
    std::string parts = std::string(subject) + ":350";
    if (hasManyParts) {
        while (start.size() + parts.size() + 8 <= maxHeaderBytes)
            parts += ",1:1";
    } else {
        parts += ",91bd3f06:700,e4402b7d:410";
    }
    return start + parts + "\r\n\r\nhi";
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
    if (argumentCount < 7)
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
    platform.put("config", "main", config());
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 6; number < argumentCount; ++number) {
        const int port = std::atoi(arguments[number]);
        workers.push_back(std::make_unique<worker>(port));
        platform.put("servers", "w" + std::to_string(number - 6), serverEntry("llm", port, "ready", "v1", 1000, slots));
    }
    platform.start();
    if (!awaitReady(host, std::atoi(ready.c_str()), 15)) {
        notes.write("the router is not ready");
        finish(exitNotRun);
    }
    sleepMs(1000);
    const auto before = processKb(pid, "VmHWM");
    notes.write("the router holds " + std::to_string(before.value_or(0)) + " KB before the crowd comes");
    const auto example = requestOf(0, hasTrouble());
    notes.write(std::to_string(callers) + " callers send one request each, with a head of " + std::to_string(example.size() - 2) + " bytes (MaxHeaderBytes is " + std::to_string(maxHeaderBytes) + ") and " + std::to_string(std::count(example.begin() + static_cast<std::ptrdiff_t>(example.find("X-Prompt-Prefix")), example.end(), ':') - 1) + " parts of a prompt in it");
    std::vector<int> sockets;
    for (int number = 0; number < callers; ++number) {
        const int socket = connectTo(host, std::atoi(front.c_str()));
        if (socket < 0)
            continue;
        sendAll(socket, requestOf(number, hasTrouble()));
        sockets.push_back(socket);
    }
    sleepMs(1000);
    notes.write("all are sent; the router holds " + std::to_string(processKb(pid, "VmRSS").value_or(0)) + " KB");
    std::map<int, int> statuses;
    int whole = 0;
    for (const int socket : sockets) {
        reader input(socket);
        const auto head = input.readHead();
        ++statuses[head ? head->status() : 0];
        while (head && head->status() == 200) {
            const auto chunk = input.readChunk();
            whole += chunk && chunk->empty() ? 1 : 0;
            if (!chunk || chunk->empty())
                break;
        }
        ::close(socket);
    }
    for (const auto& [status, count] : statuses)
        notes.write((status == 0 ? std::string("no answer") : "status " + std::to_string(status)) + ": " + std::to_string(count));
    int run = 0;
    for (const auto& item : workers)
        run += item->requests();
    notes.write(std::to_string(whole) + " streams were whole, " + std::to_string(run) + " requests reached workers");
    const auto highest = processKb(pid, "VmHWM");
    if (!highest) {
        notes.write("the router's process has ended");
        finish(exitBroken);
    }
    // Megabytes are taken as the larger ones.
    const bool isOver = *highest > memoryMb * 1024;
    notes.write("highest resident memory " + std::to_string(*highest) + " KB, the machine has " + std::to_string(memoryMb) + " MB: " + (isOver ? "over the limit" : "within it"));
    if (run == 0)
        finish(exitNotRun);
    finish(isOver ? exitBroken : exitHeld);
}
