// A consumer that has sent several requests on one channel reads the first answer slowly: does each of its requests get its own answer?

#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr const char* service = "dwumadie";
constexpr const char* host = "ficu95.example";
constexpr const char* prefix = "/cufi504/";
constexpr const char* key = "n2ctnfzs989anu6wsjnb";
constexpr int consumerCount = 4;
constexpr std::size_t longAnswerBytes = 400'000;
constexpr int workMs = 300;
constexpr int deadlineMs = 12000;
// A slow consumer reads the long answer evenly in this time.
constexpr int readMs = 4000;
constexpr int readIntervalMs = 20;
// When the third request follows.
constexpr int pauseMs = 800;
constexpr int segmentBytes = 1448;
constexpr int windowBytes = 4096;

json configuration()
{
    const json route { { "Name", "roster-read" }, { "Host", host }, { "PathPrefix", prefix }, { "Kind", "idempotent" }, { "TimeoutMs", deadlineMs }, { "SloMs", 10000 }, { "Priority", 1 },
        { "Service", service }, { "MaxAttempts", 2 }, { "Anonymous", false } };
    return { { "Version", 7 }, { "Routes", { route } }, { "Services", { { { "Name", service }, { "HealthPath", "/healthz" }, { "MaxConns", 100 }, { "Protocol", "h1" }, { "Tls", false } } } },
        { "Limits", { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 4194304 }, { "HeaderTimeoutMs", 3000 }, { "IdleTimeoutMs", 15000 } } }, { "Tenants", { { { "Name", "hule930" }, { "ApiKeys", { key } }, { "Priority", 1 } } } } };
}

std::string requestText(const std::string& id, const std::string& path)
{
    return std::string("GET ") + prefix + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + key + "\r\n\r\n";
}

} // namespace

int main(int count, char** values)
{
    const auto options = parseArguments(count, values);
    recorder record(options.record);
    store registry;
    registry.put("config", "main", configuration());
    const auto onRequest = [&](worker& self, const http_message& request, connection& channel) {
        const auto id = request.header("x-attempt-id");
        record.line("run " + id + " " + request.target() + " at " + self.id());
        const bool isLong = request.target().ends_with("/long");
        sleepMs(isLong ? workMs : 5);
        auto body = "roster for " + id + "\n";
        if (isLong)
            body.resize(longAnswerBytes, '.');
        return channel.write(httpAnswer(200, "OK", "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Type: text/plain\r\n", body));
    };
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 1; number <= 3; ++number)
        workers.push_back(std::make_unique<worker>(worker::options { "dwumadie-" + std::to_string(number), service, "east-legon", "127.0.0.1", 6 }, registry, "v1", onRequest));
    const auto routers = startRouters(2, registry.address(), options.folder, options.command);
    sleepMs(3500);

    std::atomic<int> own { 0 };
    std::atomic<int> foreign { 0 };
    std::atomic<int> none { 0 };
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
            const auto name = "read-" + std::to_string(number);
            const std::vector<std::string> ids { name + "-first", name + "-second", name + "-third" };
            // The second request follows the first one at once, the third one after a pause.
            record.line("sent " + ids[0] + " and " + ids[1] + " to " + target.name());
            const auto sentAt = steady::now();
            channel->write(requestText(ids[0], "long") + requestText(ids[1], "2f"));
            bool thirdSent = false;
            const auto sendThird = [&] {
                record.line("sent " + ids[2] + " to " + target.name());
                channel->write(requestText(ids[2], "3a"));
                thirdSent = true;
            };
            const auto elapsedMs = [&] { return std::chrono::duration_cast<milliseconds>(steady::now() - sentAt).count(); };
            const auto readSlowly = [&](std::size_t soFar) -> std::size_t {
                sleepMs(readIntervalMs);
                if (!thirdSent && elapsedMs() >= pauseMs)
                    sendThird();
                const auto due = longAnswerBytes * static_cast<std::size_t>(elapsedMs()) / readMs;
                return std::clamp<std::size_t>(due > soFar ? due - soFar : 1, 1, 65536);
            };
            const auto until = sentAt + milliseconds(deadlineMs);
            for (std::size_t index = 0; index < ids.size(); ++index) {
                const bool readsSlowly = options.trouble && index == 0;
                const auto answer = readsSlowly ? readAnswer(*channel, until, readSlowly) : readAnswer(*channel, until);
                const auto got = answer.head.header("x-attempt-id");
                const bool isOwn = answer.complete && got == ids[index] && answer.body.starts_with("roster for " + ids[index] + "\n");
                const bool isForeign = answer.status == 200 && got != ids[index];
                own += isOwn ? 1 : 0;
                foreign += isForeign ? 1 : 0;
                none += !isOwn && !isForeign ? 1 : 0;
                record.note("answered " + ids[index] + " status " + std::to_string(answer.status) + (isOwn ? " own answer" : isForeign ? " FOREIGN answer, to " + got + ": " + answer.body.substr(0, answer.body.find('\n'))
                                                                                                                                       : " no whole answer"));
                if (thirdSent || index == 2)
                    continue;
                sleepMs(std::max(0, pauseMs - static_cast<int>(elapsedMs())));
                sendThird();
            }
        });
    for (auto& consumer : consumers)
        consumer.join();
    record.note(std::to_string(own) + " requests got their own answer, " + std::to_string(foreign) + " a foreign one, " + std::to_string(none) + " none");
    if (own == 0)
        cannotRun("no request got its answer");
    record.note(foreign > 0 ? "MIXED broken" : "MIXED held");
    return foreign > 0 ? 1 : 0;
}
