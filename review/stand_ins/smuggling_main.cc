// A consumer reads an answer slowly while the body of its next request on the channel arrives in two parts. The body quotes an HTTP
// request, as a report of a gate's log does: does a worker run what is only quoted there?

#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr const char* service = "dwumadie";
constexpr const char* host = "ficu95.example";
constexpr const char* rosterPrefix = "/cufi504/";
constexpr const char* passPrefix = "/puxa403/";
constexpr const char* key = "n2ctnfzs989anu6wsjnb";
constexpr int consumerCount = 4;
constexpr std::size_t longAnswerBytes = 400'000;
constexpr int workMs = 300;
constexpr int deadlineMs = 12000;
// A slow consumer reads the long answer evenly in this time.
constexpr int readMs = 4000;
constexpr int readIntervalMs = 20;
// When the rest of the second request's body follows.
constexpr int pauseMs = 800;
constexpr int segmentBytes = 1448;
constexpr int windowBytes = 4096;

json route(const char* name, const char* prefix, const char* kind, int attempts)
{
    return { { "Name", name }, { "Host", host }, { "PathPrefix", prefix }, { "Kind", kind }, { "TimeoutMs", deadlineMs }, { "SloMs", 10000 }, { "Priority", 1 }, { "Service", service }, { "MaxAttempts", attempts }, { "Anonymous", false } };
}

json configuration()
{
    return { { "Version", 7 }, { "Routes", { route("roster-read", rosterPrefix, "idempotent", 2), route("gate-pass", passPrefix, "non_idempotent", 1) } },
        { "Services", { { { "Name", service }, { "HealthPath", "/healthz" }, { "MaxConns", 100 }, { "Protocol", "h1" }, { "Tls", false } } } },
        { "Limits", { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 4194304 }, { "HeaderTimeoutMs", 3000 }, { "IdleTimeoutMs", 15000 } } }, { "Tenants", { { { "Name", "hule930" }, { "ApiKeys", { key } }, { "Priority", 1 } } } } };
}

std::string head(const char* method, const std::string& path, const std::string& id, std::size_t bodyBytes)
{
    return std::string(method) + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + key + "\r\n"
        + (bodyBytes == 0 ? "" : "Content-Length: " + std::to_string(bodyBytes) + "\r\n") + "\r\n";
}

} // namespace

int main(int count, char** values)
{
    const auto options = parseArguments(count, values);
    recorder record(options.record);
    store registry;
    registry.put("config", "main", configuration());
    std::mutex mutex;
    std::set<std::string> sent;
    std::atomic<int> unasked { 0 };
    std::atomic<int> asked { 0 };
    const auto onRequest = [&](worker& self, const http_message& request, connection& channel) {
        const auto id = request.header("x-attempt-id");
        bool isAsked = false;
        {
            const std::lock_guard lock(mutex);
            isAsked = sent.contains(id);
        }
        (isAsked ? asked : unasked) += 1;
        record.line("run " + id + " " + request.method() + " " + request.target() + " at " + self.id() + (isAsked ? "" : ", WHICH NO CONSUMER SENT"));
        const bool isLong = request.target().ends_with("/long");
        sleepMs(isLong ? workMs : 5);
        auto body = "done for " + id + "\n";
        if (isLong)
            body.resize(longAnswerBytes, '.');
        return channel.write(httpAnswer(200, "OK", "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Type: text/plain\r\n", body));
    };
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 1; number <= 3; ++number)
        workers.push_back(std::make_unique<worker>(worker::options { "dwumadie-" + std::to_string(number), service, "east-legon", "127.0.0.1", 6 }, registry, "v1", onRequest));
    const auto routers = startRouters(2, registry.address(), options.folder, options.command);
    sleepMs(3500);

    std::vector<std::thread> consumers;
    for (int number = 1; number <= consumerCount; ++number)
        consumers.emplace_back([&, number] {
            const auto& target = *routers[static_cast<std::size_t>(number) % routers.size()];
            const auto channel = connectTo(target.host(), target.frontPort(), [](int socket) {
                ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &windowBytes, sizeof windowBytes);
                ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
            });
            if (!channel)
                cannotRun("no channel to the router");
            const auto name = "consumer-" + std::to_string(number);
            const std::vector<std::string> ids { name + "-roster", name + "-report" };
            {
                const std::lock_guard lock(mutex);
                sent.insert(ids.begin(), ids.end());
            }
            const std::string reportStart = "the gate's computer has logged this at 03:12:\r\n";
            const std::string reportRest = head("POST", std::string(passPrefix) + "approve", name + "-quoted", 0) + "nobody was at the gate\r\n";
            record.line("sent " + ids[0] + " and the head of " + ids[1] + " with a part of its body to " + target.name());
            channel->write(head("GET", std::string(rosterPrefix) + "long", ids[0], 0) + head("POST", std::string(passPrefix) + "report", ids[1], reportStart.size() + reportRest.size()) + reportStart);
            const auto sentAt = steady::now();
            bool restSent = false;
            const auto sendRest = [&] {
                record.line("sent the rest of " + ids[1]);
                channel->write(reportRest);
                restSent = true;
            };
            const auto elapsedMs = [&] { return std::chrono::duration_cast<milliseconds>(steady::now() - sentAt).count(); };
            const auto readSlowly = [&](std::size_t soFar) -> std::size_t {
                sleepMs(readIntervalMs);
                if (!restSent && elapsedMs() >= pauseMs)
                    sendRest();
                const auto due = longAnswerBytes * static_cast<std::size_t>(elapsedMs()) / readMs;
                return std::clamp<std::size_t>(due > soFar ? due - soFar : 1, 1, 65536);
            };
            const auto until = sentAt + milliseconds(deadlineMs);
            for (std::size_t index = 0; index < ids.size(); ++index) {
                const bool readsSlowly = options.trouble && index == 0;
                const auto answer = readsSlowly ? readAnswer(*channel, until, readSlowly) : readAnswer(*channel, until);
                record.note("answered " + ids[index] + " status " + std::to_string(answer.status) + (answer.complete ? "" : " broken off") + ", X-Attempt-Id " + answer.head.header("x-attempt-id"));
                if (restSent)
                    continue;
                sleepMs(std::max(0, pauseMs - static_cast<int>(elapsedMs())));
                sendRest();
            }
        });
    for (auto& consumer : consumers)
        consumer.join();
    record.note(std::to_string(asked) + " requests that consumers sent have run, and " + std::to_string(unasked) + " that no consumer sent");
    if (asked == 0)
        cannotRun("no request has run");
    record.note(unasked > 0 ? "UNASKED broken" : "UNASKED held");
    return unasked > 0 ? 1 : 0;
}
