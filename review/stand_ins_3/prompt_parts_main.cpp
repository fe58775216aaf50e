// Callers that nobody controls send generations whose prompts are made of very many short parts, all within the limits of the
// configuration, a few at a time. The script measures the resident memory of the router against the memory of its machine.

#include "site.h"

namespace {

using namespace world;

constexpr std::size_t maxHeaderBytes = 16384;
constexpr int machineMb = 110;
constexpr int engines = 9;
constexpr int callers = 8;
constexpr int requests = 2400;
constexpr int maxTimeMs = 80000;
constexpr int deadlineMs = 6000;

// A sound engine answers each generation with two events.
class engine {
public:
    engine(std::string id, record& log)
        : m_id(std::move(id))
        , m_server([this, &log](channel& connection) {
            message request;
            while (connection.receive(request)) {
                if (answersWithoutRun(connection, request, m_id))
                    continue;
                ++m_runs;
                log.line(m_id + " runs " + request.header("x-attempt-id"));
                const std::string first = "id: 1\ndata: a\n\n";
                const std::string second = "id: 2\ndata: b\n\n";
                if (!connection.send(answerText(200, "Content-Type: text/event-stream\r\n" + sealOf(request), first + second)))
                    return;
            }
        })
    {
    }

    std::string spec() const { return workerSpec("llm", m_server.port(), 64); }
    const std::string& id() const { return m_id; }

private:
    std::string m_id;
    std::atomic<int> m_runs = 0;
    server m_server;
};

// The prompt in parts of one token each, as many as the head may hold, or in three parts of the usual size without the disruption.
std::string generation(int number)
{
    const auto id = "generation-" + std::to_string(number);
    const auto head = requestHead("POST", "/qa/x", id, deadlineMs) + "X-Model: m\r\nContent-Length: 0\r\n";
    char text[64];
    std::string prefix;
    long tokens = 0;
    if (!hasTrouble()) {
        std::snprintf(text, sizeof text, "%x:6300,%x:2640,%x:250", 1 + number % 8, 100 + number % 78, 1000000 + number);
        prefix = text;
        tokens = 9190;
    }
    for (int part = 0; hasTrouble(); ++part) {
        std::snprintf(text, sizeof text, "%s%x:1", part > 0 ? "," : "", 1 + number * 2200 + part);
        if (head.size() + prefix.size() + std::strlen(text) + 80 > maxHeaderBytes)
            break;
        prefix += text;
        ++tokens;
    }
    return head + "X-Token-Usage: " + std::to_string(tokens) + ",6\r\nX-Prompt-Prefix: " + prefix + "\r\n\r\n";
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 4)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    record log(arguments[3]);
    store platform;
    std::vector<std::unique_ptr<engine>> workers;
    platform.objects["config"] = { { "main", configSpec() } };
    for (int number = 0; number < engines; ++number) {
        workers.push_back(std::make_unique<engine>("i-llm-" + std::to_string(number), log));
        platform.objects["servers"].emplace_back(workers.back()->id(), workers.back()->spec());
    }
    router tested(arguments[1], arguments[2], platform.port(), machineMb);
    if (!tested.awaitReady())
        return 2;
    const auto start = nowMs();
    const long firstKb = tested.memoryKb("VmRSS");
    const long boundKb = machineMb * 1000000L / 1024;
    std::atomic<int> next = 0;
    std::atomic<int> answered = 0;
    std::atomic<bool> isOver = false;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int number = 0; number < callers; ++number) {
        threads.emplace_back([&] {
            channel connection;
            while (!isOver) {
                const int count = next++;
                if (count >= requests)
                    return;
                message answer;
                const auto until = nowMs() + deadlineMs;
                const bool isOpen = connection.isOpen() || connection.connect(tested.front);
                const bool isAnswered = isOpen && connection.send(generation(count), until) && connection.receive(answer, until);
                if (isAnswered && answer.status() == 200)
                    ++answered;
                if (!isAnswered)
                    connection.close();
                log.line("caller generation-" + std::to_string(count) + " answered " + (isAnswered ? std::to_string(answer.status()) : std::string("nothing")));
            }
        });
    }
    // How many requests had been answered when the memory went over that of the machine.
    int answeredAtBound = -1;
    while (nowMs() - start < maxTimeMs && next < requests + callers && tested.isRunning()) {
        const long residentKb = tested.memoryKb("VmRSS");
        log.line("router resident " + std::to_string(residentKb) + " KB after " + std::to_string(answered) + " answers");
        if (residentKb > boundKb && answeredAtBound < 0)
            answeredAtBound = answered;
        sleepMs(250);
        if (answered >= requests)
            break;
    }
    isOver = true;
    for (auto& thread : threads)
        thread.join();
    const bool isRunning = tested.isRunning();
    // All callers are gone; what is still held belongs to no request.
    sleepMs(3000);
    const long lastKb = tested.memoryKb("VmRSS");
    const long highestKb = tested.memoryKb("VmHWM");
    tested.stop();
    const auto text = std::string("requests answered with success ") + std::to_string(answered) + " of " + std::to_string(std::min<int>(next, requests)) + "; resident " + std::to_string(firstKb) + " KB at first, " + std::to_string(highestKb)
        + " KB at most, " + std::to_string(lastKb) + " KB 3 s after the last one; the machine has " + std::to_string(boundKb) + " KB; over it after " + (answeredAtBound < 0 ? std::string("no") : std::to_string(answeredAtBound)) + " answers; the process "
        + (isRunning ? "runs" : "has ended");
    log.line(text);
    std::puts(text.c_str());
    if (answered < 100)
        return 2;
    return highestKb > boundKb || !isRunning ? 1 : 0;
}
