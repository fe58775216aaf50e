// A worker leaves without having reported `draining`: its entry is removed. Two waiting watches of the router are cut off, one shortly
// before and one shortly after, and the store serves all other calls. The router goes on sending new requests to the worker for longer
// than DrainMs, until the worker exits and breaks them off. One router, three workers.
#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr int workerCount = 3;
constexpr int callerCount = 24;
constexpr long callerPauseMs = 40;
constexpr long workMs = 60;
constexpr long drainMs = 2000;
// The worker goes on for DrainMs and a little longer, and then exits.
constexpr long exitAfterMs = drainMs + 600;
constexpr long calmMs = 6000;
constexpr long afterMs = 5000;
constexpr long firstCutBeforeMs = 800;
constexpr long secondCutAfterMs = 900;

std::atomic<long> removedAt { 0 };
std::atomic<int> lateArrivals { 0 };
std::atomic<long> lastArrival { 0 };
std::atomic<int> answered { 0 };
std::atomic<int> refused { 0 };
std::atomic<int> lost { 0 };

std::string config()
{
    return R"({"Version":1,"Routes":[{"Name":"pass","Host":"h.example","PathPrefix":"/pass/","Kind":"non_idempotent","TimeoutMs":1500,"SloMs":300,"Priority":2,"Service":"app","MaxAttempts":2,"Anonymous":false,"Affinity":false}],)"
           R"("Services":[{"Name":"app","HealthPath":"/healthz","MaxConns":100,"Protocol":"h1","Tls":false}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"t","ApiKeys":["key"],"Priority":1}]})";
}

bool work(int number, connection& to, const message& request)
{
    const auto id = request.header("X-Attempt-Id");
    const long removed = removedAt;
    const long sinceRemoval = removed > 0 ? nowMs() - removed : -1;
    record.line("worker " + std::to_string(number) + " runs " + id + (number == 0 && sinceRemoval >= 0 ? " " + std::to_string(sinceRemoval) + " ms after the store acknowledged that it is gone" : ""));
    if (number == 0 && sinceRemoval > drainMs) {
        ++lateArrivals;
        lastArrival = sinceRemoval;
    }
    sleepMs(workMs);
    const std::string body = "done " + id;
    return to.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void call(const router& asked, const std::string& prefix, long end)
{
    std::unique_ptr<connection> kept;
    for (int number = 0; nowMs() < end; ++number) {
        const auto id = prefix + std::to_string(number);
        if (!kept && !(kept = dial(asked.callers)))
            giveUp("the router accepts no connection");
        message answer;
        const bool isAnswered = kept->send("POST /pass/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key\r\nContent-Length: 2\r\n\r\n{}") && kept->read(answer, nowMs() + 3000, true) && answer.complete;
        const int status = isAnswered ? answer.status() : 0;
        if (status != 200)
            record.line("caller " + id + " status " + std::to_string(status));
        ++(status == 200 ? answered : status == 503 ? refused : lost);
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
        platform.put("servers", "i-w" + std::to_string(number), workerSpec("app", workers.back()->port(), "a", "v1", "ready", 1, 6));
    }
    router only { { .storePort = platform.port(), .peerPort = freePort() } };
    launch(only);
    awaitReady(only);
    const long removal = nowMs() + calmMs;
    std::vector<std::thread> threads;
    for (int number = 0; number < callerCount; ++number)
        threads.emplace_back([&, number] { call(only, "c" + std::to_string(number) + "-", removal + afterMs); });
    sleepUntilMs(removal - firstCutBeforeMs);
    if (trouble) {
        record.line("the store cuts off the watches that wait");
        platform.cutWatches();
    }
    sleepUntilMs(removal);
    platform.remove("servers", "i-w0");
    removedAt = nowMs();
    record.line("the store acknowledges that worker 0 is gone");
    sleepUntilMs(removal + secondCutAfterMs);
    if (trouble) {
        record.line("the store cuts off the watches that wait");
        platform.cutWatches();
    }
    sleepUntilMs(removal + exitAfterMs);
    record.line("worker 0 exits");
    workers.front()->stop();
    for (auto& thread : threads)
        thread.join();
    finish(lateArrivals > 0, "arrivals_later_than_DrainMs=" + std::to_string(lateArrivals) + " last_after_ms=" + std::to_string(lastArrival) + " answered=" + std::to_string(answered) + " refused=" + std::to_string(refused) + " failed=" + std::to_string(lost));
}
