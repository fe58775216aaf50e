// Case 11. The store, four model workers and consumers of a small deployment. The workers are upgraded from one software version to the
// next, each under its own id, as planned work: it reports draining, serves on for DrainMs and a little longer, ends, and starts again.
// With trouble the store is silent for three seconds some time before. Judges ORDER: streams that hold events of two versions.
//
// usage: joined-versions RECORD STORE_PORT WORKER_PORT_0..3 HOST:FRONT:READY of each router

#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr int drainMs = 2000;
constexpr int timeoutMs = 8000;
constexpr int workerCount = 4;
constexpr int events = 45;
constexpr int eventMs = 100;
constexpr int silenceMs = 3000;
constexpr int consumersAtTheEnd = 48;
// The consumers begin so long before the last worker reports draining.
constexpr int leadMs = 2000;
// The rule: more than two streams.
constexpr int allowedStreams = 2;

json config()
{
    const json route { { "Name", "gen" }, { "Host", "h.example" }, { "PathPrefix", "/gen/" }, { "Kind", "streaming" }, { "Resumable", true }, { "Affinity", true }, { "GapTargetMs", 600 }, { "TimeoutMs", timeoutMs }, { "SloMs", 1000 }, { "Priority", 1 }, { "MaxAttempts", 2 }, { "Service", "llm" } };
    const json engine { { "Slots", 128 }, { "KvCapacity", 1221218 }, { "Stride", 5 } };
    return { { "Version", 1 }, { "Routes", { route } }, { "Services", { { { "Name", "llm" }, { "HealthPath", "/healthz" }, { "MaxConns", 620 }, { "Engine", engine } } } }, { "Tenants", { { { "Name", "t1" }, { "ApiKeys", { "key1" } } } } }, { "Limits", limits() } };
}

// A sound model worker. Each event of its streams names the version that made it.
class worker {
public:
    worker(store& platform, record& notes, int number, int port)
        : m_platform(platform)
        , m_notes(notes)
        , m_id("w" + std::to_string(number))
        , m_port(port)
    {
    }

    void start(const std::string& version)
    {
        m_version = version;
        m_born = unixMs();
        m_isLeaving = false;
        m_server = std::make_unique<server>("127.0.0.1", m_port, [this, version, born = m_born](int socket) { serve(socket, version, born); });
        m_server->start();
        m_notes.write(m_id + " starts with version " + version);
        report("ready");
    }

    void upgrade(const std::string& version)
    {
        m_notes.write(m_id + " reports draining");
        m_isLeaving = true;
        report("draining");
        sleepMs(drainMs + 200);
        m_notes.write(m_id + " ends with " + std::to_string(m_running) + " requests in progress");
        m_ended.push_back(std::move(m_server));
        m_ended.back()->stop();
        start(version);
    }

    int running() const { return m_running; }

private:
    void report(const std::string& state)
    {
        m_platform.put("servers", m_id, serverEntry("llm", m_port, state, m_version, m_born, 128));
    }

    void serve(int socket, const std::string& version, std::int64_t born)
    {
        reader input(socket);
        while (const auto head = input.readHead()) {
            if (!input.readBytes(static_cast<std::size_t>(std::atoi(head->value("content-length").c_str()))))
                return;
            if (head->target().starts_with("/report")) {
                const auto body = json { { "born", born }, { "Stage", "colocated" }, { "Models", json::array() }, { "Busy", false }, { "Sequence", 1 }, { "QueueDepth", 0 }, { "InFlight", m_running.load() }, { "KvUsed", 0 }, { "KvTotal", 1221218 }, { "Handles", 0 } }.dump();
                if (!sendAll(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
                    return;
                continue;
            }
            const auto expected = head->value("x-expect-instance");
            const auto id = head->value("x-attempt-id");
            if (!expected.empty() && expected != m_id) {
                if (!sendAll(socket, "HTTP/1.1 421 S\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            ++m_running;
            const bool isWhole = stream(socket, *head, id, version);
            --m_running;
            if (!isWhole)
                return;
        }
    }

    bool stream(int socket, const message_head& head, const std::string& id, const std::string& version)
    {
        const auto after = head.value("last-event-id");
        const int first = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
        m_notes.write(m_id + " (" + version + ") runs " + id + (after.empty() ? "" : " after event " + after));
        const std::string leaving = m_isLeaving ? "Connection: close\r\nServer-Leaving: 1\r\n" : "";
        if (!sendAll(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "-" + m_id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + leaving + "\r\n"))
            return false;
        for (int number = first; number <= events; ++number) {
            sleepMs(eventMs);
            const auto event = "id: " + std::to_string(number) + "\ndata: " + version + "\n\n";
            char size[16] = {};
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!sendAll(socket, size + event + "\r\n"))
                return false;
        }
        return sendAll(socket, "0\r\n\r\n") && leaving.empty();
    }

    store& m_platform;
    record& m_notes;
    std::string m_id;
    int m_port;
    std::string m_version;
    std::atomic<bool> m_isLeaving = false;
    std::int64_t m_born = 0;
    std::atomic<int> m_running = 0;
    std::unique_ptr<server> m_server;
    std::vector<std::unique_ptr<server>> m_ended;
};

struct router_address {
    std::string host;
    int front = 0;
    int ready = 0;
};

struct stream_outcome {
    int status = 0;
    std::map<std::string, int> eventsOfVersion;
    bool isComplete = false;
};

stream_outcome askForStream(const router_address& router, const std::string& id, int subject)
{
    stream_outcome outcome;
    const int socket = connectTo(router.host, router.front);
    if (socket < 0)
        return outcome;
    char prefix[64] = {};
    std::snprintf(prefix, sizeof prefix, "%x:800,%x:410", 0x1000 + subject, 0x90000 + subject);
    sendAll(socket, "POST /gen/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nAuthorization: Bearer key1\r\nX-Model: m\r\nX-Token-Usage: 1210,225\r\nX-Prompt-Prefix: " + prefix + "\r\nX-Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\nhi");
    reader input(socket);
    const auto head = input.readHead();
    if (head)
        outcome.status = head->status();
    if (outcome.status == 200) {
        while (const auto chunk = input.readChunk()) {
            if (chunk->empty()) {
                outcome.isComplete = true;
                break;
            }
            std::istringstream lines(*chunk);
            for (std::string line; std::getline(lines, line);) {
                if (line.starts_with("data: "))
                    ++outcome.eventsOfVersion[line.substr(6)];
            }
        }
    }
    ::close(socket);
    return outcome;
}

router_address parseRouter(const std::string& text)
{
    std::istringstream parts(text);
    router_address router;
    std::string number;
    std::getline(parts, router.host, ':');
    std::getline(parts, number, ':');
    router.front = std::atoi(number.c_str());
    std::getline(parts, number, ':');
    router.ready = std::atoi(number.c_str());
    return router;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount < 8)
        return exitNotRun;
    record notes(arguments[1]);
    store platform("127.0.0.1", std::atoi(arguments[2]));
    platform.put("config", "main", config());
    platform.start();
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 0; number < workerCount; ++number)
        workers.push_back(std::make_unique<worker>(platform, notes, number, std::atoi(arguments[3 + number])));
    for (int number = 0; number + 1 < workerCount; ++number)
        workers[static_cast<std::size_t>(number)]->start("v1");
    std::vector<router_address> routers;
    for (int number = 3 + workerCount; number < argumentCount; ++number)
        routers.push_back(parseRouter(arguments[number]));
    for (const auto& router : routers) {
        if (!awaitReady(router.host, router.ready, 15)) {
            notes.write("a router is not ready");
            finish(exitNotRun);
        }
    }
    notes.write("all routers are ready");
    // The service has had one version for longer than a stream lives.
    sleepMs(2 * timeoutMs + 3000);

    workers[3]->start("v1");
    if (hasTrouble()) {
        sleepMs(25);
        notes.write("the store falls silent");
        platform.setSilent(true);
    }
    sleepMs(silenceMs);
    if (hasTrouble()) {
        notes.write("the store answers again");
        platform.setSilent(false);
    }
    sleepMs(3000);
    for (const std::size_t number : { 1, 2, 3 })
        workers[number]->upgrade("v2");

    std::mutex mutex;
    std::vector<stream_outcome> outcomes(consumersAtTheEnd);
    std::vector<std::thread> consumers;
    std::thread last([&] {
        sleepMs(leadMs);
        workers[0]->upgrade("v2");
    });
    for (int number = 0; number < consumersAtTheEnd; ++number) {
        consumers.emplace_back([&, number] {
            auto outcome = askForStream(routers[static_cast<std::size_t>(number) % routers.size()], "s" + std::to_string(number), number);
            const std::lock_guard lock(mutex);
            outcomes[static_cast<std::size_t>(number)] = std::move(outcome);
        });
        sleepMs(50);
    }
    for (auto& consumer : consumers)
        consumer.join();
    last.join();

    int joined = 0;
    int answered = 0;
    for (std::size_t number = 0; number < outcomes.size(); ++number) {
        const auto& outcome = outcomes[number];
        std::string text = "s" + std::to_string(number) + ": status " + std::to_string(outcome.status) + ", " + (outcome.isComplete ? "complete" : "broken off") + ", events";
        for (const auto& [version, count] : outcome.eventsOfVersion)
            text += " " + version + " x " + std::to_string(count);
        const bool isJoined = outcome.eventsOfVersion.size() > 1;
        joined += isJoined ? 1 : 0;
        answered += outcome.status == 200 ? 1 : 0;
        notes.write(text + (isJoined ? "  <- events of two versions" : ""));
    }
    notes.write(std::to_string(joined) + " streams hold events of two versions; the rule allows " + std::to_string(allowedStreams));
    if (answered == 0) {
        notes.write("no stream was answered, so that nothing was judged");
        finish(exitNotRun);
    }
    finish(joined > allowedStreams ? exitBroken : exitHeld);
}
