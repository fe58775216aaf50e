// While the store is down, three of twelve workers start again under their ids with another version of their software, at a moment at which
// they run nothing. The router takes the streams that begin there for streams of the version in their records, and goes on with them at a
// worker of that version when they break off. One router, twelve workers.
#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr int workerCount = 12;
constexpr int upgradedCount = 3;
constexpr int streamCount = 72;
constexpr int eventCount = 40;
constexpr long eventMs = 100;
constexpr long calmMs = 14000;
// Since the store went down.
constexpr long upgradeAtMs = 300;
constexpr long streamsAtMs = 500;
constexpr long crashAtMs = 2200;
constexpr long crashedForMs = 2000;
constexpr long downForMs = 4000;

std::atomic<int> mixed { 0 };
std::atomic<int> complete { 0 };
std::atomic<int> broken { 0 };
std::atomic<int> refused { 0 };

std::string config()
{
    return R"({"Version":1,"Routes":[{"Name":"ask","Host":"h.example","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":6000,"SloMs":600,"Priority":1,"Service":"llm","MaxAttempts":2,"Anonymous":false,"Affinity":true,"Resumable":true,"GapTargetMs":300}],)"
           R"("Services":[{"Name":"llm","HealthPath":"/healthz","MaxConns":360,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":438321,"KvTokenBytes":18432,"Stride":3,"Models":[{"Name":"m"}]}}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"t","ApiKeys":["key"],"Priority":1}]})";
}

class worker {
public:
    explicit worker(int number)
        : m_number(number)
        , m_server([this](connection& to, const message& request) { return serve(to, request); })
    {
    }

    void start() { m_server.start(); }
    // Ends the process, with its connections.
    void end()
    {
        ++m_ends;
        m_server.stop();
    }
    // Starts again as a new process.
    void restart()
    {
        ++m_born;
        start();
    }
    void restartUpgraded()
    {
        m_version = 2;
        restart();
    }
    std::string spec() const { return workerSpec("llm", m_server.port(), "a", "v" + std::to_string(m_version), "ready", m_born); }
    std::string id() const { return "i-w" + std::to_string(m_number); }

private:
    bool serve(connection& to, const message& request)
    {
        if (request.target() == "/report") {
            const auto body = "{\"born\":" + std::to_string(m_born) + "}";
            return to.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
        const auto request_id = request.header("X-Attempt-Id");
        const int ends = m_ends;
        const auto version = "v" + std::to_string(m_version);
        const auto last = request.header("Last-Event-Id");
        record.line(id() + " of " + version + " runs " + request_id + (last.empty() ? "" : " after event " + last));
        if (!to.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request_id + "\r\nX-Response-Seal: seal-" + request_id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int number = std::atoi(last.c_str()) + 1; number <= eventCount; ++number) {
            const auto event = "id: " + std::to_string(number) + "\ndata: " + version + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (m_ends != ends || !to.send(size + event + "\r\n"))
                return false;
            sleepMs(eventMs);
        }
        return to.send("0\r\n\r\n");
    }

    int m_number;
    std::atomic<int> m_version { 1 };
    std::atomic<long> m_born { 1 };
    std::atomic<int> m_ends { 0 };
    server m_server;
};

void follow(const router& asked, const std::string& id)
{
    const auto to = dial(asked.callers);
    message answer;
    const bool isRead = to && to->send("POST /ask/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 6000\r\nX-Model: m\r\nX-Token-Usage: 1010,120\r\nX-Prompt-Prefix: " + id.substr(1) + ":900,a" + id.substr(1) + ":110\r\nAuthorization: Bearer key\r\nContent-Length: 2\r\n\r\n{}") && to->read(answer, nowMs() + 8000, true);
    const bool isMixed = answer.body.find("data: v1") != std::string::npos && answer.body.find("data: v2") != std::string::npos;
    record.line("caller " + id + " status " + std::to_string(isRead ? answer.status() : 0) + (answer.complete ? " complete" : " broken off") + (isMixed ? ", with events of v1 and v2" : ""));
    mixed += isMixed ? 1 : 0;
    if (isRead && answer.status() != 200)
        ++refused;
    else
        ++(answer.complete ? complete : broken);
}

void followAll(const router& asked, const std::string& prefix, int count)
{
    std::vector<std::thread> callers;
    for (int number = 0; number < count; ++number) {
        callers.emplace_back([&asked, id = prefix + std::to_string(100 + number)] { follow(asked, id); });
        sleepMs(10);
    }
    for (auto& caller : callers)
        caller.join();
}

} // namespace

int main(int count, char** arguments)
{
    const bool trouble = prepare(count, arguments);
    store platform;
    platform.put("config", "main", config());
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 0; number < workerCount; ++number) {
        workers.push_back(std::make_unique<worker>(number));
        workers.back()->start();
        platform.put("servers", workers.back()->id(), workers.back()->spec());
    }
    router only { { .storePort = platform.port(), .peerPort = freePort() } };
    launch(only);
    awaitReady(only);
    const long calmUntil = nowMs() + calmMs;
    followAll(only, "1", 12);
    complete = 0;
    sleepUntilMs(calmUntil);
    const long down = nowMs();
    if (trouble) {
        record.line("the store is down");
        platform.setDown(true);
    }
    sleepUntilMs(down + upgradeAtMs);
    for (int number = 0; number < upgradedCount; ++number) {
        workers[static_cast<std::size_t>(number)]->end();
        workers[static_cast<std::size_t>(number)]->restartUpgraded();
        record.line(workers[static_cast<std::size_t>(number)]->id() + " has started again as v2");
    }
    // Workers write their entries as long as the store accepts them.
    const auto writeEntries = [&] {
        for (const auto& item : workers)
            platform.put("servers", item->id(), item->spec());
    };
    if (!trouble)
        writeEntries();
    sleepUntilMs(down + streamsAtMs);
    std::thread streams([&] { followAll(only, "2", streamCount); });
    sleepUntilMs(down + crashAtMs);
    for (int number = 0; number < upgradedCount; ++number) {
        record.line(workers[static_cast<std::size_t>(number)]->id() + " crashes");
        workers[static_cast<std::size_t>(number)]->end();
    }
    sleepUntilMs(down + downForMs);
    if (trouble) {
        record.line("the store is back");
        platform.setDown(false);
        writeEntries();
    }
    sleepUntilMs(down + crashAtMs + crashedForMs);
    for (int number = 0; number < upgradedCount; ++number) {
        workers[static_cast<std::size_t>(number)]->restart();
        record.line(workers[static_cast<std::size_t>(number)]->id() + " is back as v2");
    }
    writeEntries();
    streams.join();
    finish(mixed > 2, "streams_of_two_versions=" + std::to_string(mixed) + " of " + std::to_string(streamCount) + " complete=" + std::to_string(complete) + " broken=" + std::to_string(broken) + " refused=" + std::to_string(refused));
}
