// Streams while workers start again under their ids with another software version and the store is silent: does a stream hold events of
// two versions?

#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr const char* service = "kasa";
constexpr const char* host = "ficu95.example";
constexpr const char* prefix = "/lohu930/";
constexpr const char* key = "n2ctnfzs989anu6wsjnb";
constexpr int workerCount = 6;
constexpr int eventCount = 34;
constexpr int eventGapMs = 100;
constexpr int timeoutMs = 10000;
constexpr int streamGapMs = 18;
// Longer than two timeouts of the route, so that the service has had one version alone for longer than any stream lives.
constexpr int warmUpMs = 24000;
// The rule counts more than two streams.
constexpr int allowedStreams = 2;

json configuration()
{
    const json route { { "Name", "round-checklist" }, { "Host", host }, { "PathPrefix", prefix }, { "Kind", "streaming" }, { "TimeoutMs", timeoutMs }, { "SloMs", 250 }, { "Priority", 0 },
        { "Service", service }, { "MaxAttempts", 2 }, { "Anonymous", false }, { "Affinity", true }, { "Resumable", true }, { "GapTargetMs", 150 } };
    const json engine { { "Slots", 64 }, { "KvCapacity", 1221218 }, { "Stride", 5 }, { "Models", { { { "Name", "m" } } } } };
    return { { "Version", 7 }, { "Routes", { route } }, { "Services", { { { "Name", service }, { "HealthPath", "/healthz" }, { "MaxConns", 620 }, { "Protocol", "h1" }, { "Tls", false }, { "Engine", engine } } } },
        { "Limits", { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 4194304 }, { "HeaderTimeoutMs", 3000 }, { "IdleTimeoutMs", 15000 } } }, { "Tenants", { { { "Name", "hule930" }, { "ApiKeys", { key } }, { "Priority", 1 } } } } };
}

// Sends the events of a stream after the one that the request names. Each event tells the version that wrote it.
bool stream(recorder& record, worker& self, const http_message& request, connection& channel)
{
    const auto id = request.header("x-attempt-id");
    const auto version = self.version();
    const auto last = request.header("last-event-id");
    record.line("run " + id + " at " + self.id() + " version " + version + (last.empty() ? "" : " after event " + last));
    sleepMs(60);
    if (!channel.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return false;
    for (int number = last.empty() ? 1 : std::atoi(last.c_str()) + 1; number <= eventCount; ++number) {
        const auto event = "id: " + std::to_string(number) + "\ndata: written by " + version + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!channel.write(size + event + "\r\n") || channel.peerHasLeft())
            return false;
        sleepMs(eventGapMs);
    }
    return channel.write("0\r\n\r\n");
}

struct totals {
    std::atomic<int> sent { 0 };
    std::atomic<int> complete { 0 };
    std::atomic<int> mixed { 0 };
    std::atomic<int> ended { 0 };
};

void consume(recorder& record, const router& target, int number, totals& counts)
{
    const auto id = "stream-" + std::to_string(number);
    auto channel = connectTo(target.host(), target.frontPort());
    ++counts.sent;
    record.line("sent " + id + " to " + target.name());
    const std::string body = "summary";
    received_answer answer;
    if (channel && channel->write(std::string("POST ") + prefix + "2f HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Model: m\r\nX-Token-Usage: 1460,170\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410," + std::to_string(10000 + number) + ":250\r\nX-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\nAuthorization: Bearer " + key + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
        answer = readAnswer(*channel, steady::now() + milliseconds(timeoutMs));
    std::set<std::string> versions;
    std::string order;
    const std::string mark = "data: written by ";
    for (auto at = answer.body.find(mark); at != std::string::npos; at = answer.body.find(mark, at + 1)) {
        const auto begin = at + mark.size();
        const auto version = answer.body.substr(begin, answer.body.find('\n', begin) - begin);
        versions.insert(version);
        order += (order.empty() ? "" : ",") + version;
    }
    const bool mixed = versions.size() > 1;
    counts.mixed += mixed ? 1 : 0;
    counts.complete += answer.complete ? 1 : 0;
    ++counts.ended;
    record.line("answered " + id + " status " + std::to_string(answer.status) + (answer.complete ? " complete" : " broken off") + (mixed ? " OF TWO VERSIONS: " + order : ""));
}

} // namespace

int main(int count, char** values)
{
    const auto options = parseArguments(count, values);
    recorder record(options.record);
    store registry;
    registry.put("config", "main", configuration());
    const auto onRequest = [&record](worker& self, const http_message& request, connection& channel) { return stream(record, self, request, channel); };
    std::vector<std::unique_ptr<worker>> workers;
    static const char* zones[] = { "east-legon", "tema", "spintex" };
    for (int number = 1; number <= workerCount; ++number)
        workers.push_back(std::make_unique<worker>(worker::options { "kasa-" + std::to_string(number), service, zones[number % 3] }, registry, "v1", onRequest));
    const auto routers = startRouters(2, registry.address(), options.folder, options.command);

    totals counts;
    std::atomic<bool> ending { false };
    std::vector<std::thread> consumers;
    std::thread traffic([&] {
        for (int number = 1; !ending; ++number) {
            consumers.emplace_back([&, number] { consume(record, *routers[static_cast<std::size_t>(number) % routers.size()], number, counts); });
            sleepMs(streamGapMs);
        }
    });
    sleepMs(warmUpMs);
    if (options.trouble) {
        record.note("worker kasa-2 crashes");
        workers[1]->crash();
        sleepMs(2500);
        record.note("the store falls silent");
        registry.setSilent(true);
        sleepMs(200);
        workers[1]->startAgain("v2");
        record.note(std::string("worker kasa-2 is back under its id with version v2; the store has ") + (workers[1]->registerSelf() ? "accepted" : "not answered") + " its entry");
        sleepMs(2100);
        record.note("worker kasa-1 crashes");
        workers[0]->crash();
        sleepMs(2200);
        registry.setSilent(false);
        record.note("the store answers again");
        sleepMs(500);
        workers[0]->startAgain("v1");
        record.note("worker kasa-1 is back under its id with version v1");
    }
    sleepMs(4000);
    ending = true;
    traffic.join();
    for (auto& consumer : consumers)
        consumer.join();
    const bool broken = counts.mixed > allowedStreams;
    record.note(std::to_string(counts.sent) + " streams, " + std::to_string(counts.complete) + " complete, " + std::to_string(counts.mixed) + " with events of two versions; " + std::to_string(allowedStreams) + " are allowed");
    record.note(broken ? "ORDER broken" : "ORDER held");
    if (counts.complete == 0)
        cannotRun("no stream was complete");
    return broken ? 1 : 0;
}
