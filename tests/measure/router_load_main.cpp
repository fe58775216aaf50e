// Generates load on one router and prints what it costs the router: resident memory (KB) by number of idle caller connections,
// and processor time (us) by number of requests and by number of forwarded events. This program acts as the store, one worker
// and the callers. misc/measure_slopes.sh runs it.

#include "tests/soak/soak_store.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr int callerThreads = 8;
constexpr int requestDeadlineMs = 5000;
constexpr auto eventInterval = std::chrono::milliseconds(2);
constexpr auto settleTime = std::chrono::milliseconds(500);

// Returns the processor time that all threads of a process have used.
long processorMicroseconds(int pid)
{
    long nanoseconds = 0;
    for (const auto& task : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task")) {
        long threadNanoseconds = 0;
        std::ifstream(task.path() / "schedstat") >> threadNanoseconds;
        nanoseconds += threadNanoseconds;
    }
    return nanoseconds / 1000;
}

long residentKilobytes(int pid)
{
    std::ifstream rollup("/proc/" + std::to_string(pid) + "/smaps_rollup");
    for (std::string word; rollup >> word;) {
        long kilobytes = 0;
        if (word == "Rss:" && rollup >> kilobytes)
            return kilobytes;
    }
    return 0;
}

// Answers each request with a stream of as many events as the last segment of its path states.
void serveWorker(httplib::Server& worker)
{
    worker.new_task_queue = [] { return new httplib::ThreadPool(64); };
    worker.Get(R"(/stream/(\d+))", [](const httplib::Request& request, httplib::Response& response) {
        response.set_header("X-Attempt-Id", request.get_header_value("X-Attempt-Id"));
        response.set_header("X-Response-Seal", "seal");
        const int events = std::stoi(request.matches[1]);
        response.set_chunked_content_provider("text/event-stream", [events](std::size_t, httplib::DataSink& sink) {
            for (int number = 1; number <= events; ++number) {
                const auto event = "id: " + std::to_string(number) + "\ndata: " + std::string(60, 'x') + "\n\n";
                if (!sink.write(event.data(), event.size()))
                    return false;
                std::this_thread::sleep_for(eventInterval);
            }
            sink.done();
            return true;
        });
    });
}

// Opens connections to the port until there are `count`. Returns false when one of them fails.
bool openIdleConnections(int port, std::size_t count, std::vector<int>& sockets)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    while (sockets.size() < count) {
        const int socketDescriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        if (socketDescriptor < 0 || ::connect(socketDescriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
            return false;
        sockets.push_back(socketDescriptor);
    }
    std::this_thread::sleep_for(settleTime);
    return true;
}

// Sends requests over persistent connections and returns how many were answered with status 200.
int sendRequests(int port, int count, int events)
{
    std::atomic<int> answered { 0 };
    std::vector<std::thread> callers;
    callers.reserve(callerThreads);
    for (int caller = 0; caller < callerThreads; ++caller) {
        callers.emplace_back([&, caller] {
            httplib::Client client("127.0.0.1", port);
            client.set_keep_alive(true);
            for (int number = caller; number < count; number += callerThreads) {
                const httplib::Headers headers { { "Host", "h" }, { "X-Attempt-Id", std::to_string(events) + "-" + std::to_string(number) }, { "X-Deadline-Ms", std::to_string(requestDeadlineMs) }, { "Authorization", "Bearer key" } };
                const auto result = client.Get("/stream/" + std::to_string(events), headers);
                if (result && result->status == 200)
                    ++answered;
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
    return answered;
}

void measureRequests(int routerPort, int routerPid, int count, int events, const std::string& name, int itemCount)
{
    const auto before = processorMicroseconds(routerPid);
    const int answered = sendRequests(routerPort, count, events);
    std::cout << name << " " << itemCount << " " << processorMicroseconds(routerPid) - before << std::endl;
    if (answered != count)
        std::cerr << name << ": " << answered << " of " << count << " requests were answered" << std::endl;
}

} // namespace

// Arguments: store port, worker port, router port, pid of the router.
int main(int argumentCount, char** arguments)
{
    if (argumentCount != 5) {
        std::cerr << "usage: measure-router-load STORE_PORT WORKER_PORT ROUTER_PORT ROUTER_PID\n";
        return 2;
    }
    const int workerPort = std::atoi(arguments[2]);
    const int routerPort = std::atoi(arguments[3]);
    const int routerPid = std::atoi(arguments[4]);
    const soak_store store({ .port = std::atoi(arguments[1]), .workerPort = workerPort, .workers = 1, .requestDeadlineMs = requestDeadlineMs });
    httplib::Server worker;
    serveWorker(worker);
    std::thread workerThread([&] { worker.listen("127.0.0.1", workerPort); });
    std::this_thread::sleep_for(std::chrono::seconds(2));
    sendRequests(routerPort, 200, 1);
    std::vector<int> idleSockets;
    bool allOpened = true;
    for (const std::size_t count : { 100, 1000, 3000 }) {
        allOpened = allOpened && openIdleConnections(routerPort, count, idleSockets);
        std::cout << "connections " << count << " " << residentKilobytes(routerPid) << std::endl;
    }
    for (const int socket : idleSockets)
        ::close(socket);
    std::this_thread::sleep_for(settleTime);
    for (const int count : { 500, 1000, 2000 })
        measureRequests(routerPort, routerPid, count, 1, "requests", count);
    for (const int events : { 5, 20, 50 })
        measureRequests(routerPort, routerPid, 400, events, "events", 400 * events);
    worker.stop();
    workerThread.join();
    return allOpened ? 0 : 1;
}
