// Requests that are legal in size but made of very many short fields, at a path without a route and without a key, keep a router busy for
// so long that it answers nobody else: neither ordinary callers nor the platform that asks whether it is ready. One router, one worker.
#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr long trafficMs = 20000;
constexpr int ordinaryCallers = 20;
constexpr long ordinaryPauseMs = 200;
// A crowd whose connections each send one request at a time and read its answer.
constexpr int crowd = 60;
constexpr long crowdFromMs = 4000;
constexpr long crowdUntilMs = 16000;
constexpr long routeTimeoutMs = 1500;
// MaxHeaderBytes is 16384.
constexpr std::size_t headBytes = 16200;

std::atomic<int> answered { 0 };
std::atomic<int> reachedTimeout { 0 };
std::atomic<int> unanswered { 0 };
std::atomic<int> refused { 0 };
std::atomic<int> crowdAnswers { 0 };
std::atomic<int> missedChecks { 0 };
std::atomic<int> longestChecksMissed { 0 };

std::string config()
{
    return R"({"Version":1,"Routes":[{"Name":"read","Host":"h.example","PathPrefix":"/read/","Kind":"idempotent","TimeoutMs":1500,"SloMs":300,"Priority":2,"Service":"app","MaxAttempts":2,"Anonymous":false,"Affinity":false}],)"
           R"("Services":[{"Name":"app","HealthPath":"/healthz","MaxConns":360,"Protocol":"h1","Tls":false}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"t","ApiKeys":["key"],"Priority":1}]})";
}

bool work(connection& to, const message& request)
{
    const auto id = request.header("X-Attempt-Id");
    record.line("worker runs " + id);
    sleepMs(15);
    const std::string body(800, 'x');
    return to.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Length: 800\r\n\r\n" + body);
}

void call(const router& asked, const std::string& prefix, long end)
{
    std::unique_ptr<connection> kept;
    for (int number = 0; nowMs() < end; ++number) {
        const auto id = prefix + std::to_string(number);
        if (!kept && !(kept = dial(asked.callers))) {
            sleepMs(100);
            continue;
        }
        message answer;
        const long sentAt = nowMs();
        // The final answer is due at the route's timeout; it is late half a second after.
        const bool isAnswered = kept->send("GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer key\r\n\r\n") && kept->read(answer, sentAt + routeTimeoutMs + 500, true) && answer.complete;
        const long took = nowMs() - sentAt;
        record.line("caller " + id + " status " + std::to_string(isAnswered ? answer.status() : 0) + " after " + std::to_string(took) + " ms");
        reachedTimeout += took >= routeTimeoutMs ? 1 : 0;
        if (!isAnswered) {
            ++unanswered;
            kept.reset();
        } else
            ++(answer.status() == 200 ? answered : refused);
        sleepMs(ordinaryPauseMs);
    }
}

std::string hostileHead()
{
    // Half of the head names options of the connection, the other half are fields.
    std::string head = "GET /nothing/here HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c\r\nConnection: b";
    while (head.size() < headBytes / 2)
        head += ",b";
    head += "\r\n";
    while (head.size() < headBytes - 8)
        head += "a:\r\n";
    return head + "\r\n";
}

void press(const router& asked, bool isHostile, long from, long end)
{
    const auto head = isHostile ? hostileHead() : "GET /nothing/here HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: c\r\nX-Filler: " + std::string(headBytes - 200, 'x') + "\r\nContent-Length: 0\r\n\r\n";
    sleepUntilMs(from);
    std::unique_ptr<connection> kept;
    while (nowMs() < end) {
        message answer;
        if (!kept && !(kept = dial(asked.callers))) {
            sleepMs(100);
            continue;
        }
        if (kept->send(head) && kept->read(answer, nowMs() + 30000, true))
            ++crowdAnswers;
        else
            kept.reset();
        sleepMs(250);
    }
}

// As the platform does: once per second, and two misses take a machine out.
void check(const router& asked, long end)
{
    int missed = 0;
    while (nowMs() < end) {
        const bool ready = isReady(asked);
        missed = ready ? 0 : missed + 1;
        missedChecks += ready ? 0 : 1;
        longestChecksMissed = std::max(longestChecksMissed.load(), missed);
        record.line(std::string("ready check ") + (ready ? "200" : "missed"));
        sleepMs(1000);
    }
}

} // namespace

int main(int count, char** arguments)
{
    const bool trouble = prepare(count, arguments);
    store platform;
    platform.put("config", "main", config());
    server worker(work);
    worker.start();
    platform.put("servers", "i-w0", workerSpec("app", worker.port()));
    router only { { .storePort = platform.port(), .peerPort = freePort() } };
    launch(only);
    awaitReady(only);
    const long start = nowMs();
    std::vector<std::thread> threads;
    threads.emplace_back([&] { check(only, start + trafficMs); });
    for (int number = 0; number < ordinaryCallers; ++number)
        threads.emplace_back([&, number] { call(only, "o" + std::to_string(number) + "-", start + trafficMs); });
    for (int number = 0; number < crowd; ++number)
        threads.emplace_back([&] { press(only, trouble, start + crowdFromMs, start + crowdUntilMs); });
    for (auto& thread : threads)
        thread.join();
    const bool broken = reachedTimeout > 0 && unanswered * 2 > reachedTimeout;
    finish(broken, "answered=" + std::to_string(answered) + " refused=" + std::to_string(refused) + " reached_timeout=" + std::to_string(reachedTimeout) + " unanswered_later=" + std::to_string(unanswered) + " crowd_answers=" + std::to_string(crowdAnswers) + " ready_checks_missed=" + std::to_string(missedChecks) + " in_a_row=" + std::to_string(longestChecksMissed));
}
