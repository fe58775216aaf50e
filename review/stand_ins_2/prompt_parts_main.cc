// Prompts that are legal in size but made of very many short parts fill the memory of a router, until the platform kills it. One router,
// nine workers and the limits of the dhammasiri site; the platform is played here: it kills the router when it holds more than MemoryMb
// and starts it again.
#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr int workerCount = 9;
constexpr int memoryMb = 110;
constexpr long trafficMs = 60000;
constexpr int ordinaryCallers = 12;
constexpr long ordinaryPauseMs = 600;
constexpr int finePartCallers = 24;
constexpr long finePartPauseMs = 250;
constexpr int eventCount = 17;
constexpr long eventMs = 50;
// MaxHeaderBytes is 16384.
constexpr std::size_t prefixBytes = 15800;

std::mutex mutex;
// Requests that a worker began to run.
std::set<std::string> run;
std::atomic<int> lost { 0 };
std::atomic<int> answered { 0 };
std::atomic<int> refused { 0 };
std::atomic<int> ends { 0 };
std::atomic<long> peakKb { 0 };
std::atomic<unsigned> nextPart { 1 };

std::string config()
{
    return R"({"Version":1,"Routes":[{"Name":"ask","Host":"h.example","PathPrefix":"/ask/","Kind":"streaming","TimeoutMs":6000,"SloMs":600,"Priority":1,"Service":"llm","MaxAttempts":1,"Anonymous":false,"Affinity":true,"Resumable":false,"GapTargetMs":300}],)"
           R"("Services":[{"Name":"llm","HealthPath":"/healthz","MaxConns":360,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":438321,"KvTokenBytes":18432,"Stride":3,"Models":[{"Name":"m"}]}}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"t","ApiKeys":["key"],"Priority":1}]})";
}

bool work(connection& to, const message& request)
{
    const auto id = request.header("X-Attempt-Id");
    if (request.target() == "/report")
        return to.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":1}");
    record.line("worker runs " + id);
    {
        const std::lock_guard lock(mutex);
        run.insert(id);
    }
    if (!to.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return false;
    for (int number = 1; number <= eventCount; ++number) {
        sleepMs(eventMs);
        const auto event = "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (to.isClosed() || !to.send(size + event + "\r\n"))
            return false;
    }
    return to.send("0\r\n\r\n");
}

// The part of a prompt as it is on the sheet: two shared parts and one of its own.
std::string coarseParts(unsigned number)
{
    char text[64];
    std::snprintf(text, sizeof text, "c0ffee01:6000,c0ffee02:300,%x:2890", 0x10000000U + number);
    return text;
}

// A prompt in parts of one token each, as many as the header holds.
std::string fineParts(int& tokens)
{
    std::string parts;
    for (tokens = 0; parts.size() < prefixBytes; ++tokens) {
        char text[32];
        std::snprintf(text, sizeof text, "%s%x:1", parts.empty() ? "" : ",", nextPart++);
        parts += text;
    }
    return parts;
}

void call(const router& asked, const std::string& prefix, bool isFine, long pauseMs, long end)
{
    std::unique_ptr<connection> kept;
    for (int number = 0; nowMs() < end; ++number) {
        const auto id = prefix + std::to_string(number);
        if (!kept && !(kept = dial(asked.callers))) {
            sleepMs(100);
            continue;
        }
        int tokens = 9190;
        const auto parts = isFine ? fineParts(tokens) : coarseParts(static_cast<unsigned>(number) * 64 + static_cast<unsigned>(prefix.back()));
        const auto head = "POST /ask/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 6000\r\nX-Model: m\r\nX-Token-Usage: " + std::to_string(tokens) + ",51\r\nX-Prompt-Prefix: " + parts + "\r\nAuthorization: Bearer key\r\nContent-Length: 2\r\n\r\n{}";
        message answer;
        const bool isAnswered = kept->send(head) && kept->read(answer, nowMs() + 7000, true) && answer.complete;
        const int status = isAnswered ? answer.status() : 0;
        bool hasRun = false;
        {
            const std::lock_guard lock(mutex);
            hasRun = run.contains(id);
        }
        record.line("caller " + id + " status " + std::to_string(status) + (isAnswered ? "" : hasRun ? " closed without an answer, had been passed on" : " closed without an answer"));
        if (!isAnswered) {
            lost += hasRun ? 1 : 0;
            kept.reset();
        } else
            ++(status == 200 ? answered : refused);
        sleepMs(pauseMs);
    }
}

long residentKb(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmRSS:"))
            return std::atol(line.c_str() + 6);
    }
    return 0;
}

// Plays the platform: a process that exceeds MemoryMb is killed, and started again after a short delay.
void supervise(router& watched, long end)
{
    while (nowMs() < end) {
        sleepMs(50);
        const long kilobytes = residentKb(watched.pid);
        peakKb = std::max(peakKb.load(), kilobytes);
        if (kilobytes * 1024 <= memoryMb * 1000000L)
            continue;
        record.line("the router holds " + std::to_string(kilobytes) + " kB, more than MemoryMb: the platform kills it");
        ++ends;
        killRouter(watched);
        sleepMs(500);
        launch(watched);
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
        workers.push_back(std::make_unique<server>(work));
        workers.back()->start();
        platform.put("servers", "i-w" + std::to_string(number), workerSpec("llm", workers.back()->port()));
    }
    router only { { .memoryMb = memoryMb, .storePort = platform.port(), .peerPort = freePort() } };
    launch(only);
    awaitReady(only);
    const long end = nowMs() + trafficMs;
    std::vector<std::thread> threads;
    threads.emplace_back([&] { supervise(only, end); });
    for (int number = 0; number < ordinaryCallers; ++number)
        threads.emplace_back([&, number] { call(only, "plain-" + std::string(1, static_cast<char>('a' + number)), false, ordinaryPauseMs, end); });
    for (int number = 0; number < finePartCallers; ++number)
        threads.emplace_back([&, number] { call(only, "fine-" + std::string(1, static_cast<char>('a' + number)), trouble, finePartPauseMs, end); });
    for (auto& thread : threads)
        thread.join();
    finish(lost > 3, "ends=" + std::to_string(ends) + " lost=" + std::to_string(lost) + " answered=" + std::to_string(answered) + " refused=" + std::to_string(refused) + " peak_kB=" + std::to_string(peakKb));
}
