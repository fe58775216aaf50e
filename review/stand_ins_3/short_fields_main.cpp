// Callers that nobody controls send requests of legal size that are made of very many short fields, to a path without a route. Ordinary
// callers ask beside them, and the platform asks once a second whether the router is ready.

#include "site.h"

namespace {

using namespace world;

constexpr std::size_t maxHeaderBytes = 16384;
constexpr int crowdSize = 24;
constexpr int crowdFromMs = 4000;
constexpr int crowdForMs = 20000;
constexpr int afterMs = 4000;
constexpr int ordinaryCallers = 4;
constexpr int ordinaryPauseMs = 100;
constexpr int ordinaryDeadlineMs = 1000;

// A head of legal size: one half of it fields of four bytes, the other half a list of connection options of two bytes each.
std::string crowdRequest(int number)
{
    const auto head = "GET /nowhere/ HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: crowd-" + std::to_string(number) + "\r\nX-Deadline-Ms: 6000\r\n";
    const auto room = maxHeaderBytes - head.size() - 40;
    std::string fields;
    while (fields.size() + 4 <= room / 2)
        fields += "a:\r\n";
    std::string options = "Connection: keep-alive";
    while (options.size() + 2 <= room / 2)
        options += ",b";
    return head + fields + options + "\r\n\r\n";
}

struct counts {
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
};

struct phase_counts {
    counts before;
    counts beside;
    counts after;

    counts& at(long long sentMs, long long start)
    {
        const auto since = sentMs - start;
        return since < crowdFromMs ? before : (since < crowdFromMs + crowdForMs ? beside : after);
    }
};

void describe(record& log, const char* name, const counts& item)
{
    const auto text = std::string(name) + ": sent " + std::to_string(item.sent) + ", answered with success in time " + std::to_string(item.served) + ", refused with 503 or 429 in time " + std::to_string(item.refused);
    log.line(text);
    std::puts(text.c_str());
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 4)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    record log(arguments[3]);
    store platform;
    plain_worker worker("i-app-1", 15, log);
    platform.objects["config"] = { { "main", configSpec() } };
    platform.objects["servers"] = { { worker.id(), worker.spec() } };
    router tested(arguments[1], arguments[2], platform.port(), 110);
    if (!tested.awaitReady())
        return 2;
    const auto start = nowMs();
    const auto end = start + crowdFromMs + crowdForMs + afterMs;
    const auto crowdStart = start + crowdFromMs;
    const auto crowdEnd = crowdStart + crowdForMs;
    phase_counts ordinary;
    std::atomic<int> crowdSent = 0;
    std::atomic<int> crowdAnswered = 0;
    std::vector<std::thread> threads;
    threads.reserve(ordinaryCallers + crowdSize);
    for (int number = 0; number < ordinaryCallers; ++number) {
        threads.emplace_back([&, number] {
            for (int count = 0; nowMs() < end; ++count) {
                channel connection;
                message answer;
                const auto id = "ordinary-" + std::to_string(number) + "-" + std::to_string(count);
                const auto sentAt = nowMs();
                auto& item = ordinary.at(sentAt, start);
                const auto until = sentAt + ordinaryDeadlineMs;
                ++item.sent;
                const bool isAnswered = connection.connect(tested.front) && connection.send(requestHead("GET", "/lookup/x", id, ordinaryDeadlineMs) + "\r\n", until) && connection.receive(answer, until);
                log.line("caller " + id + " sent at " + std::to_string(sentAt) + ", answered " + (isAnswered ? std::to_string(answer.status()) : std::string("nothing in time")));
                if (isAnswered && answer.status() == 200)
                    ++item.served;
                else if (isAnswered && (answer.status() == 503 || answer.status() == 429))
                    ++item.refused;
                sleepMs(ordinaryPauseMs);
            }
        });
    }
    for (int number = 0; number < crowdSize && hasTrouble(); ++number) {
        threads.emplace_back([&, number] {
            sleepMs(crowdStart - nowMs());
            const auto request = crowdRequest(number);
            // Each client waits for its answer before it sends its next request on the same connection.
            while (nowMs() < crowdEnd) {
                channel connection;
                message answer;
                if (!connection.connect(tested.front)) {
                    sleepMs(100);
                    continue;
                }
                while (nowMs() < crowdEnd && connection.send(request, crowdEnd)) {
                    ++crowdSent;
                    if (!connection.receive(answer, crowdEnd))
                        break;
                    ++crowdAnswered;
                }
            }
        });
    }
    int misses = 0;
    int missesInRow = 0;
    int longestMisses = 0;
    while (nowMs() < end) {
        const auto askedAt = nowMs();
        const bool isReady = tested.isReady();
        log.line(std::string("readyz ") + (isReady ? "200" : "no answer of 200 within 1 s"));
        const bool isBeside = askedAt >= crowdStart && askedAt < crowdEnd;
        missesInRow = isReady ? 0 : missesInRow + 1;
        misses += isBeside && !isReady ? 1 : 0;
        longestMisses = std::max(longestMisses, missesInRow);
        sleepMs(std::max(0LL, 1000 - (nowMs() - askedAt)));
    }
    for (auto& thread : threads)
        thread.join();
    const bool isRunning = tested.isRunning();
    tested.stop();
    describe(log, "ordinary callers before the crowd", ordinary.before);
    describe(log, "ordinary callers beside the crowd", ordinary.beside);
    describe(log, "ordinary callers after the crowd", ordinary.after);
    const auto crowd = "crowd of " + std::to_string(hasTrouble() ? crowdSize : 0) + " clients: sent " + std::to_string(crowdSent) + " requests of " + std::to_string(crowdRequest(0).size()) + " bytes, answered " + std::to_string(crowdAnswered);
    const auto readiness = "readiness: " + std::to_string(misses) + " misses beside the crowd, at most " + std::to_string(longestMisses) + " in a row; the process " + (isRunning ? "runs" : "has ended");
    for (const auto& text : { crowd, readiness }) {
        log.line(text);
        std::puts(text.c_str());
    }
    const auto& before = ordinary.before;
    if (before.served < before.sent)
        return 2;
    const auto& beside = ordinary.beside;
    // Hung: it doesn't answer the platform for two questions in a row, and answers fewer than a quarter of the ordinary callers at all.
    const bool hangs = longestMisses >= 2 && 4 * (beside.served + beside.refused) < beside.sent;
    return hangs || !isRunning ? 1 : 0;
}
