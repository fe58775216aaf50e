// While the store is down, an idle engine crashes and starts again under its id with another software version, which it can't tell the
// store. Streams begin there, the engine crashes once more, and its streams go on elsewhere. Callers see from the events which versions
// have written them. With the argument "engine" the program is one engine, so that it can be killed.

#include "site.h"

#include <fcntl.h>

namespace {

using namespace world;

constexpr int engines = 4;
constexpr int events = 60;
constexpr int firstEventMs = 200;
constexpr int eventMs = 40;
constexpr long long firstBorn = 1764900000000;
// Times after the store has gone down.
constexpr int crashAtMs = 300;
constexpr int restartAtMs = 800;
constexpr int streamsFromMs = 1200;
constexpr int secondCrashAtMs = 3200;
constexpr int storeDownMs = 6000;
constexpr int streamIntervalMs = 60;
constexpr int deadlineMs = 12000;

std::string engineId(int number) { return "i-llm-" + std::to_string(number); }

// One engine: its events name its software version.
int runEngine(char** arguments)
{
    const int port = std::atoi(arguments[2]);
    const std::string id = arguments[3];
    const std::string version = arguments[4];
    const std::string born = arguments[5];
    const int log = ::open(arguments[6], O_WRONLY | O_APPEND);
    const server engine([&](channel& connection) {
        message request;
        while (connection.receive(request)) {
            if (request.target() == "/report") {
                connection.send(answerText(200, "Content-Type: application/json\r\n", "{\"born\":" + born + ",\"Stage\":\"colocated\"}"));
                continue;
            }
            if (answersWithoutRun(connection, request, id))
                continue;
            const auto last = std::atoi(request.header("last-event-id").c_str());
            const auto line = "engine " + id + " of version " + version + " runs " + request.header("x-attempt-id") + " after event " + std::to_string(last) + "\n";
            if (::write(log, line.data(), line.size()) < 0)
                return;
            sleepMs(firstEventMs);
            if (!connection.send(streamHead(request)))
                return;
            for (int event = last + 1; event <= events; ++event) {
                if (!connection.send(chunk("id: " + std::to_string(event) + "\ndata: " + version + "\n\n")))
                    return;
                sleepMs(eventMs);
            }
            if (!connection.send("0\r\n\r\n"))
                return;
        }
    },
        port);
    for (;;)
        ::pause();
}

class engine_process {
public:
    engine_process(std::string program, int number, std::string recordPath)
        : m_program(std::move(program))
        , m_number(number)
        , m_recordPath(std::move(recordPath))
    {
    }
    ~engine_process() { kill(); }

    void start(const std::string& version, long long born)
    {
        const auto port = std::to_string(m_port);
        const auto id = engineId(m_number);
        const auto started = std::to_string(born);
        m_process = ::fork();
        if (m_process != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::execl(m_program.c_str(), m_program.c_str(), "engine", port.c_str(), id.c_str(), version.c_str(), started.c_str(), m_recordPath.c_str(), nullptr);
        ::_exit(2);
    }

    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = 0;
    }

    int port() const { return m_port; }

private:
    std::string m_program;
    int m_number;
    std::string m_recordPath;
    int m_port = freePort(SOCK_STREAM);
    pid_t m_process = 0;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argumentCount == 7)
        return runEngine(arguments);
    if (argumentCount != 4)
        return 2;
    record log(arguments[3]);
    store platform;
    platform.objects["config"] = { { "main", configSpec({ .isDigestResumable = true }) } };
    std::vector<std::unique_ptr<engine_process>> workers;
    for (int number = 0; number < engines; ++number) {
        workers.push_back(std::make_unique<engine_process>(arguments[0], number, arguments[3]));
        workers.back()->start("v1", firstBorn);
        platform.objects["servers"].emplace_back(engineId(number), workerSpec("llm", workers.back()->port(), 64));
    }
    router tested(arguments[1], arguments[2], platform.port(), 110);
    if (!tested.awaitReady())
        return 2;
    std::atomic<int> sent = 0;
    std::atomic<int> complete = 0;
    std::atomic<int> open = 0;
    std::atomic<int> joined = 0;
    const auto beginStream = [&](int number) {
        std::thread([&, number] {
            ++open;
            ++sent;
            channel connection;
            message answer;
            char parts[64];
            std::snprintf(parts, sizeof parts, "%x:13300,%x:3470,%x:250", 1 + number % 8, 100 + number % 48, 1000000 + number);
            const auto id = "digest-" + std::to_string(number);
            const auto until = nowMs() + deadlineMs;
            const auto head = requestHead("POST", "/digest/x", id, deadlineMs) + "X-Model: m\r\nX-Token-Usage: 17020,120\r\nX-Prompt-Prefix: " + parts + "\r\nContent-Length: 0\r\n\r\n";
            const bool isComplete = connection.connect(tested.front) && connection.send(head, until) && connection.receive(answer, until) && answer.status() == 200;
            complete += isComplete ? 1 : 0;
            const bool hasFirst = answer.body.find("data: v1\n") != std::string::npos;
            const bool hasSecond = answer.body.find("data: v2\n") != std::string::npos;
            joined += hasFirst && hasSecond ? 1 : 0;
            log.line("caller " + id + (isComplete ? " answered with a complete stream" : " answered " + std::to_string(answer.status()) + ", incomplete") + ", events of " + (hasFirst ? "v1 " : "") + (hasSecond ? "v2" : ""));
            --open;
        }).detach();
    };
    // Some calm time, with a few streams before it.
    int number = 0;
    for (; number < 12; ++number) {
        beginStream(number);
        sleepMs(streamIntervalMs);
    }
    while (open > 0)
        sleepMs(20);
    sleepMs(3000);
    const auto downAt = nowMs();
    const auto until = [downAt](int time) { sleepMs(std::max(0LL, downAt + time - nowMs())); };
    const bool trouble = hasTrouble();
    platform.isDown = trouble;
    log.line(trouble ? "the store is down" : "the store stays up, and no engine crashes");
    if (trouble) {
        until(crashAtMs);
        workers[0]->kill();
        log.line("engine " + engineId(0) + " has crashed, with nothing to do");
        until(restartAtMs);
        workers[0]->start("v2", firstBorn + 1000000);
        log.line("engine " + engineId(0) + " has started again with version v2");
    }
    until(streamsFromMs);
    while (nowMs() < downAt + secondCrashAtMs) {
        beginStream(number++);
        sleepMs(streamIntervalMs);
    }
    if (trouble) {
        workers[0]->kill();
        log.line("engine " + engineId(0) + " has crashed");
    }
    until(storeDownMs);
    platform.isDown = false;
    while (open > 0)
        sleepMs(20);
    const bool isRunning = tested.isRunning();
    tested.stop();
    const auto text = "streams: sent " + std::to_string(sent) + ", complete " + std::to_string(complete) + ", with events of two software versions in one answer " + std::to_string(joined) + " (two are allowed); the process " + (isRunning ? "runs" : "has ended");
    log.line(text);
    std::puts(text.c_str());
    if (complete < 12)
        return 2;
    return joined > 2 || !isRunning ? 1 : 0;
}
