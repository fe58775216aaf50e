// Case 12. The store, four model workers and two plain workers of a small deployment, ordinary callers, and a crowd of callers that are
// not controlled. Ordinary callers ask for a stream with a prompt of 17,000 bytes, as the site's librarians do, and get its first event
// after 2.5 s. The crowd asks for streams of 3.2 MB. With trouble it reads them very slowly; without it, at once. Judges LOST: ordinary
// requests that were passed on to a sound worker and whose channel the router closed without an answer.
//
// usage: slow-readers RECORD STORE_PORT HOST:FRONT:READY WORKER_PORT_0..5

#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr int ordinaryCallers = 40;
constexpr int ordinaryBytes = 17000;
constexpr int firstEventMs = 3500;
constexpr int events = 10;
constexpr int eventMs = 50;
constexpr int crowdCallers = 800;
constexpr int crowdBeginsMs = 300;
constexpr std::size_t largeEventBytes = 16'000;
constexpr int largeEvents = 300;
constexpr int largeEventMs = 10;
constexpr std::size_t largeAnswerBytes = largeEventBytes * largeEvents;
constexpr int slowReadBytes = 2048;
constexpr int slowReadMs = 100;
constexpr int slowReads = 40;
constexpr int modelWorkers = 4;
// The rule: more than three times.
constexpr int allowedLosses = 3;

json config()
{
    const json digest { { "Name", "sermon-digest" }, { "Host", "h.example" }, { "PathPrefix", "/digest/" }, { "Kind", "streaming" }, { "Resumable", true }, { "Affinity", true }, { "GapTargetMs", 800 }, { "TimeoutMs", 12000 }, { "SloMs", 2000 }, { "Priority", 2 }, { "MaxAttempts", 2 }, { "Service", "llm" } };
    const json transcript { { "Name", "transcript" }, { "Host", "h.example" }, { "PathPrefix", "/transcript/" }, { "Kind", "streaming" }, { "Resumable", false }, { "GapTargetMs", 800 }, { "TimeoutMs", 12000 }, { "SloMs", 2000 }, { "Priority", 2 }, { "MaxAttempts", 1 }, { "Service", "app" } };
    const json engine { { "Slots", 64 }, { "KvCapacity", 438321 }, { "Stride", 3 } };
    const json model { { "Name", "llm" }, { "HealthPath", "/healthz" }, { "MaxConns", 360 }, { "Engine", engine } };
    const json app { { "Name", "app" }, { "HealthPath", "/healthz" }, { "MaxConns", 360 } };
    return { { "Version", 1 }, { "Routes", { digest, transcript } }, { "Services", { model, app } }, { "Tenants", json::array({ { { "Name", "t1" }, { "ApiKeys", { "key1" } } } }) }, { "Limits", limits() } };
}

// A sound worker. Notes which ordinary requests it has received, and which it has answered to the end.
class worker {
public:
    worker(record& notes, int port)
        : m_notes(notes)
        , m_server("127.0.0.1", port, [this](int socket) { serve(socket); })
    {
        m_server.start();
    }

    bool hasReceived(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        return m_received.contains(id);
    }

private:
    void serve(int socket)
    {
        reader input(socket);
        while (const auto head = input.readHead()) {
            if (!input.readBytes(static_cast<std::size_t>(std::atoi(head->value("content-length").c_str()))))
                return;
            const auto id = head->value("x-attempt-id");
            {
                const std::lock_guard lock(m_mutex);
                m_received.insert(id);
            }
            const bool isWhole = head->target().starts_with("/transcript/") ? sendLarge(socket, id) : sendStream(socket, id);
            if (!isWhole)
                return;
        }
    }

    static std::string headOf(const std::string& id, const std::string& fields)
    {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\n" + fields + "\r\n";
    }

    static bool sendLarge(int socket, const std::string& id)
    {
        static const std::string data(largeEventBytes, 'x');
        bool isWhole = sendAll(socket, headOf(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        for (int number = 1; number <= largeEvents && isWhole; ++number) {
            isWhole = sendAll(socket, chunkOf("id: " + std::to_string(number) + "\ndata: " + data + "\n\n"));
            sleepMs(largeEventMs);
        }
        return isWhole && sendAll(socket, "0\r\n\r\n");
    }

    static std::string chunkOf(const std::string& bytes)
    {
        char size[16] = {};
        std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
        return size + bytes + "\r\n";
    }

    bool sendStream(int socket, const std::string& id)
    {
        sleepMs(firstEventMs);
        bool isWhole = sendAll(socket, headOf(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        for (int number = 1; number <= events && isWhole; ++number) {
            isWhole = sendAll(socket, chunkOf("id: " + std::to_string(number) + "\ndata: x\n\n"));
            sleepMs(eventMs);
        }
        isWhole = isWhole && sendAll(socket, "0\r\n\r\n");
        m_notes.write(std::string("a worker has ") + (isWhole ? "answered " : "lost its channel while it answered ") + id);
        return isWhole;
    }

    record& m_notes;
    std::mutex m_mutex;
    std::set<std::string> m_received;
    server m_server;
};

std::string requestHead(const std::string& method, const std::string& path, const std::string& id, const std::string& fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nAuthorization: Bearer key1\r\nX-Deadline-Ms: 10000\r\n" + fields + "\r\n";
}

// How the answer to an ordinary request ended.
enum class ending { whole,
    broken_off,
    closed_without_answer,
    refused };

ending askForStream(const std::string& host, int front, int number)
{
    const int socket = connectTo(host, front);
    if (socket < 0)
        return ending::refused;
    char prefix[64] = {};
    std::snprintf(prefix, sizeof prefix, "%x:13300,%x:3720", 0x1000 + number % 8, 0x90000 + number);
    sendAll(socket, requestHead("POST", "/digest/1", "o" + std::to_string(number), std::string("X-Model: m\r\nX-Token-Usage: 17020,120\r\nX-Prompt-Prefix: ") + prefix + "\r\nContent-Length: " + std::to_string(ordinaryBytes) + "\r\n") + std::string(ordinaryBytes, 'b'));
    reader input(socket);
    auto result = ending::closed_without_answer;
    if (const auto head = input.readHead()) {
        result = head->status() == 200 ? ending::broken_off : ending::refused;
        while (head->status() == 200) {
            const auto chunk = input.readChunk();
            if (chunk && chunk->empty())
                result = ending::whole;
            if (!chunk || chunk->empty())
                break;
        }
    }
    ::close(socket);
    return result;
}

// Some kilobytes a second, for four seconds; then the caller leaves.
void readSlowly(int socket)
{
    std::vector<char> buffer(slowReadBytes);
    for (int count = 0; count < slowReads; ++count) {
        if (::recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT) == 0)
            return;
        sleepMs(slowReadMs);
    }
}

void readToEnd(int socket)
{
    std::vector<char> buffer(65536);
    // The length of the head doesn't matter here.
    for (std::size_t read = 0; read < largeAnswerBytes;) {
        const auto size = ::recv(socket, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return;
        read += static_cast<std::size_t>(size);
    }
}

void askForLargeAnswer(const std::string& host, int front, int number)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int receiveBytes = 4096;
    if (hasTrouble())
        ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    const auto address = addressOf(host, front);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        sendAll(socket, requestHead("GET", "/transcript/1", "c" + std::to_string(number), ""));
        if (hasTrouble())
            readSlowly(socket);
        else
            readToEnd(socket);
    }
    ::close(socket);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 4 + modelWorkers + 2)
        return exitNotRun;
    record notes(arguments[1]);
    store platform("127.0.0.1", std::atoi(arguments[2]));
    std::istringstream address(arguments[3]);
    std::string host;
    std::string front;
    std::string ready;
    std::getline(address, host, ':');
    std::getline(address, front, ':');
    std::getline(address, ready, ':');
    const int port = std::atoi(front.c_str());
    platform.put("config", "main", config());
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 0; number < modelWorkers + 2; ++number) {
        const int workerPort = std::atoi(arguments[4 + number]);
        workers.push_back(std::make_unique<worker>(notes, workerPort));
        const bool isModel = number < modelWorkers;
        platform.put("servers", "w" + std::to_string(number), serverEntry(isModel ? "llm" : "app", workerPort, "ready", "v1", 1000, isModel ? 64 : 200));
    }
    platform.start();
    if (!awaitReady(host, std::atoi(ready.c_str()), 15)) {
        notes.write("the router is not ready");
        finish(exitNotRun);
    }
    sleepMs(500);
    notes.write(std::to_string(ordinaryCallers) + " ordinary callers send a request each");
    std::vector<ending> endings(ordinaryCallers, ending::refused);
    std::vector<std::thread> callers;
    for (int number = 0; number < ordinaryCallers; ++number) {
        callers.emplace_back([&, number] { endings[static_cast<std::size_t>(number)] = askForStream(host, port, number); });
        sleepMs(5);
    }
    sleepMs(crowdBeginsMs - 5 * ordinaryCallers);
    notes.write("a crowd of " + std::to_string(crowdCallers) + " asks for streams of " + std::to_string(largeAnswerBytes) + " bytes, and reads them " + (hasTrouble() ? "very slowly" : "at once"));
    std::vector<std::thread> crowd;
    for (int number = 0; number < crowdCallers; ++number)
        crowd.emplace_back([&, number] { askForLargeAnswer(host, port, number); });
    for (auto& caller : callers)
        caller.join();
    int lost = 0;
    int received = 0;
    static constexpr const char* names[] = { "answered whole", "broken off", "closed without an answer", "refused" };
    std::map<std::string, int> counts;
    for (int number = 0; number < ordinaryCallers; ++number) {
        const auto id = "o" + std::to_string(number);
        const auto result = endings[static_cast<std::size_t>(number)];
        const bool isPassedOn = std::any_of(workers.begin(), workers.end(), [&id](const auto& item) { return item->hasReceived(id); });
        received += isPassedOn ? 1 : 0;
        const bool isLost = isPassedOn && result == ending::closed_without_answer;
        lost += isLost ? 1 : 0;
        ++counts[names[static_cast<int>(result)]];
        notes.write(id + ": " + (isPassedOn ? "passed on to a worker" : "not passed on") + ", " + names[static_cast<int>(result)] + (isLost ? "  <- lost" : ""));
    }
    for (const auto& [name, count] : counts)
        notes.write("ordinary requests " + name + ": " + std::to_string(count));
    notes.write(std::to_string(lost) + " requests were passed on and their channels closed without an answer; the rule allows " + std::to_string(allowedLosses));
    if (received == 0)
        finish(exitNotRun);
    finish(lost > allowedLosses ? exitBroken : exitHeld);
}
