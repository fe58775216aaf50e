// Four of nine workers send bytes without end in the bodies of their streams, no event of which ever ends. The router holds these bytes
// until its bound for connections is reached, and then closes the connections of callers whose requests are at sound workers. One router
// with the limits of the dhammasiri site, nine workers.
#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr int workerCount = 9;
constexpr int faultyCount = 4;
constexpr int callerCount = 110;
constexpr long callerPauseMs = 200;
constexpr long trafficMs = 25000;
constexpr long troubleFromMs = 5000;
constexpr long troubleUntilMs = 11500;
constexpr int eventCount = 40;
constexpr long eventMs = 50;
constexpr std::size_t endlessBytes = 10000;

std::atomic<bool> isFaulty { false };
std::mutex mutex;
// The requests that a sound worker runs or has run.
std::set<std::string> atSound;
std::atomic<int> answered { 0 };
std::atomic<int> refused { 0 };
std::atomic<int> failed { 0 };
std::atomic<int> lost { 0 };

std::string config()
{
    return R"({"Version":1,"Routes":[{"Name":"ask","Host":"h.example","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":6000,"SloMs":600,"Priority":1,"Service":"llm","MaxAttempts":1,"Anonymous":false,"Affinity":true,"Resumable":false,"GapTargetMs":300}],)"
           R"("Services":[{"Name":"llm","HealthPath":"/healthz","MaxConns":360,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":438321,"KvTokenBytes":18432,"Stride":3,"Models":[{"Name":"m"}]}}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"t","ApiKeys":["key"],"Priority":1}]})";
}

std::string chunk(const std::string& bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

bool work(int number, connection& to, const message& request)
{
    const auto id = request.header("X-Attempt-Id");
    const bool faulty = number < faultyCount && isFaulty;
    record.line("worker " + std::to_string(number) + " runs " + id + (faulty ? ", bytes without end" : ""));
    if (!faulty) {
        const std::lock_guard lock(mutex);
        atSound.insert(id);
    }
    if (!to.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return false;
    // A sound event first, and then bytes until the router closes the connection.
    if (faulty && !to.send(chunk("id: 1\ndata: " + id + "\n\n")))
        return false;
    while (faulty) {
        if (to.isClosed() || !to.send(chunk(std::string(endlessBytes, 'x'))))
            return false;
        sleepMs(eventMs);
    }
    for (int event = 1; event <= eventCount; ++event) {
        if (to.isClosed() || !to.send(chunk("id: " + std::to_string(event) + "\ndata: " + id + "\n\n")))
            return false;
        sleepMs(eventMs);
    }
    return to.send("0\r\n\r\n");
}

void call(const router& asked, const std::string& prefix, long end)
{
    std::unique_ptr<connection> kept;
    for (int number = 0; nowMs() < end; ++number) {
        const auto id = prefix + std::to_string(number);
        if (!kept && !(kept = dial(asked.callers)))
            giveUp("the router accepts no connection");
        message answer;
        const bool isAnswered = kept->send("POST /ask/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 6000\r\nX-Model: m\r\nX-Token-Usage: 9190,51\r\nX-Prompt-Prefix: c0ffee01:6000,c0ffee02:300," + std::to_string(1000 + number) + prefix.substr(1, 3) + ":2890\r\nAuthorization: Bearer key\r\nContent-Length: 2\r\n\r\n{}") && kept->read(answer, nowMs() + 8000, true) && answer.complete;
        bool isLost = false;
        {
            const std::lock_guard lock(mutex);
            isLost = !isAnswered && atSound.contains(id);
        }
        record.line("caller " + id + " status " + std::to_string(isAnswered ? answer.status() : 0) + (isLost ? " closed without a whole answer, had been passed on to a sound worker" : ""));
        lost += isLost ? 1 : 0;
        ++(!isAnswered ? failed : answer.status() == 200 ? answered : refused);
        if (!isAnswered)
            kept.reset();
        sleepMs(callerPauseMs);
    }
}

} // namespace

int main(int count, char** arguments)
{
    const bool trouble = prepare(count, arguments);
    store platform;
    platform.put("config", "main", config());
    std::vector<std::unique_ptr<server>> workers;
    for (int number = 0; number < workerCount; ++number) {
        workers.push_back(std::make_unique<server>([number](connection& to, const message& request) { return work(number, to, request); }));
        workers.back()->start();
        platform.put("servers", "i-w" + std::to_string(number), workerSpec("llm", workers.back()->port()));
    }
    router only { { .memoryMb = 110, .storePort = platform.port(), .peerPort = freePort() } };
    launch(only);
    awaitReady(only);
    const long start = nowMs();
    std::vector<std::thread> threads;
    for (int number = 0; number < callerCount; ++number) {
        threads.emplace_back([&, number] { call(only, "c" + std::to_string(100 + number) + "-", start + trafficMs); });
        sleepMs(10);
    }
    sleepUntilMs(start + troubleFromMs);
    isFaulty = trouble;
    sleepUntilMs(start + troubleUntilMs);
    isFaulty = false;
    for (auto& thread : threads)
        thread.join();
    finish(lost > 3, "lost_at_sound_workers=" + std::to_string(lost) + " answered=" + std::to_string(answered) + " refused=" + std::to_string(refused) + " failed=" + std::to_string(failed));
}
