// Consumers that read their answers slowly while their router is asked to stop: does each of them get its whole answer?

#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr const char* service = "dwumadie";
constexpr const char* host = "ficu95.example";
constexpr const char* prefix = "/puxa403/";
constexpr const char* key = "n2ctnfzs989anu6wsjnb";
constexpr int consumerCount = 6;
constexpr std::size_t answerBytes = 400'000;
// The answer takes four seconds to read.
constexpr int readMs = 4000;
constexpr int readIntervalMs = 20;
constexpr int workMs = 500;
constexpr int deadlineMs = 12000;
// The segment size of an Ethernet path, and a small window.
constexpr int segmentBytes = 1448;
constexpr int windowBytes = 4096;

json configuration()
{
    const json route { { "Name", "gate-pass" }, { "Host", host }, { "PathPrefix", prefix }, { "Kind", "non_idempotent" }, { "TimeoutMs", deadlineMs }, { "SloMs", 300 }, { "Priority", 1 },
        { "Service", service }, { "MaxAttempts", 1 }, { "Anonymous", false } };
    return { { "Version", 7 }, { "Routes", { route } }, { "Services", { { { "Name", service }, { "HealthPath", "/healthz" }, { "MaxConns", 100 }, { "Protocol", "h1" }, { "Tls", false } } } },
        { "Limits", { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 4194304 }, { "HeaderTimeoutMs", 3000 }, { "IdleTimeoutMs", 15000 } } }, { "Tenants", { { { "Name", "hule930" }, { "ApiKeys", { key } }, { "Priority", 1 } } } } };
}

std::string answerBody(const std::string& id)
{
    std::string body;
    while (body.size() < answerBytes)
        body += "visitors logged for " + id + " line " + std::to_string(body.size()) + "\n";
    body.resize(answerBytes);
    return body;
}

std::string requestText(const std::string& id, const char* path)
{
    const std::string body = "gate 4";
    return std::string("POST ") + prefix + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + key + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

int main(int count, char** values)
{
    const auto options = parseArguments(count, values);
    recorder record(options.record);
    store registry;
    registry.put("config", "main", configuration());
    std::atomic<int> atWorker { 0 };
    std::atomic<int> answeredByWorker { 0 };
    const auto onRequest = [&](worker& self, const http_message& request, connection& channel) {
        const auto id = request.header("x-attempt-id");
        const bool isShort = request.target().ends_with("/short");
        if (!isShort)
            ++atWorker;
        record.line("run " + id + " at " + self.id());
        sleepMs(isShort ? 5 : workMs);
        const bool written = channel.write(httpAnswer(200, "OK", "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Type: text/plain\r\n", isShort ? "logged" : answerBody(id)));
        record.line((written ? "the worker has written the whole answer to " : "the router took only part of the answer to ") + id);
        answeredByWorker += !isShort && written ? 1 : 0;
        return written;
    };
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 1; number <= 3; ++number)
        workers.push_back(std::make_unique<worker>(worker::options { "dwumadie-" + std::to_string(number), service, "east-legon", "127.0.0.1", 6 }, registry, "v1", onRequest));
    const auto routers = startRouters(2, registry.address(), options.folder, options.command);
    sleepMs(3500);

    auto& stopped = *routers[0];
    std::atomic<int> whole { 0 };
    std::atomic<int> cut { 0 };
    std::vector<std::thread> consumers;
    for (int number = 1; number <= consumerCount; ++number)
        consumers.emplace_back([&, number] {
            const auto channel = connectTo(stopped.host(), stopped.frontPort(), [](int socket) {
                ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &windowBytes, sizeof windowBytes);
                ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
            });
            if (!channel)
                cannotRun("no channel to the router");
            // The channel is a kept one: it has carried a request before.
            const auto first = "pass-" + std::to_string(number) + "-a";
            channel->write(requestText(first, "short"));
            if (!readAnswer(*channel, steady::now() + std::chrono::seconds(5)).complete)
                cannotRun("a request before the disruption was not answered");
            sleepMs(500);
            const auto id = "pass-" + std::to_string(number) + "-b";
            record.line("sent " + id + " to " + stopped.name());
            const auto sentAt = steady::now();
            channel->write(requestText(id, "log"));
            std::optional<steady::time_point> firstByteAt;
            const auto pace = [&](std::size_t soFar) -> std::size_t {
                if (!firstByteAt)
                    firstByteAt = steady::now();
                sleepMs(readIntervalMs);
                const auto elapsed = std::chrono::duration_cast<milliseconds>(steady::now() - *firstByteAt).count();
                const auto due = answerBytes * static_cast<std::size_t>(elapsed) / readMs;
                return std::clamp<std::size_t>(due > soFar ? due - soFar : 1, 1, 65536);
            };
            const auto answer = readAnswer(*channel, sentAt + milliseconds(deadlineMs), pace);
            const bool isWhole = answer.complete && answer.status == 200 && answer.body == answerBody(id);
            (isWhole ? whole : cut) += 1;
            const auto afterMs = std::chrono::duration_cast<milliseconds>(steady::now() - sentAt).count();
            record.note("answered " + id + " status " + std::to_string(answer.status) + (isWhole ? " whole" : " CUT OFF") + ", " + std::to_string(answer.body.size()) + " of " + std::to_string(answerBytes) + " bytes, " + std::to_string(afterMs) + " ms after it was sent");
        });
    for (int waited = 0; atWorker < consumerCount && waited < 5000; waited += 5)
        sleepMs(5);
    if (atWorker < consumerCount)
        cannotRun("not all requests have reached a worker");
    if (options.trouble) {
        sleepMs(100);
        record.note("SIGTERM to " + stopped.name());
        stopped.kill(SIGTERM);
        const auto termAt = steady::now();
        while (!stopped.hasEnded() && steady::now() - termAt < std::chrono::seconds(8))
            sleepMs(5);
        record.note(stopped.name() + " has ended " + std::to_string(std::chrono::duration_cast<milliseconds>(steady::now() - termAt).count()) + " ms after SIGTERM, of 8000 ms that it has");
    }
    for (auto& consumer : consumers)
        consumer.join();
    record.note(std::to_string(consumerCount) + " requests ran and were answered by their worker in full (" + std::to_string(answeredByWorker) + " written), " + std::to_string(whole) + " answers arrived whole, " + std::to_string(cut) + " were cut off");
    record.note(cut > 0 ? "LOST broken" : "LOST held");
    return cut > 0 ? 1 : 0;
}
