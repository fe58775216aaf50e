// The store holds an entry of another writer among those of the workers, with bytes that can't be read: do routers that start again
// still serve by the other entries?

#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr const char* service = "dwumadie";
constexpr const char* host = "ficu95.example";
constexpr const char* prefix = "/cufi504/";
constexpr const char* key = "n2ctnfzs989anu6wsjnb";
constexpr int requestGapMs = 100;
constexpr int deadlineMs = 1500;
constexpr int downMs = 2000;
// RecoveryS of the settings.
constexpr int recoveryMs = 12000;
constexpr int measuredMs = 10000;

json configuration()
{
    const json route { { "Name", "roster-read" }, { "Host", host }, { "PathPrefix", prefix }, { "Kind", "idempotent" }, { "TimeoutMs", deadlineMs }, { "SloMs", 300 }, { "Priority", 1 },
        { "Service", service }, { "MaxAttempts", 2 }, { "Anonymous", false } };
    return { { "Version", 7 }, { "Routes", { route } }, { "Services", { { { "Name", service }, { "HealthPath", "/healthz" }, { "MaxConns", 100 }, { "Protocol", "h1" }, { "Tls", false } } } },
        { "Limits", { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 4194304 }, { "HeaderTimeoutMs", 3000 }, { "IdleTimeoutMs", 15000 } } }, { "Tenants", { { { "Name", "hule930" }, { "ApiKeys", { key } }, { "Priority", 1 } } } } };
}

// An entry whose address holds the bytes 0xff and 0xfe, which are no text. By default they are escaped as stores do that keep such bytes
// (RFC 8259 allows the escapes). VARIANT=raw leaves them as they are; VARIANT=number has a readable address and a number that no
// machine type holds.
std::string foreignEntry()
{
    const char* named = std::getenv("VARIANT");
    const std::string variant = named ? named : "escaped";
    const std::string address = variant == "raw" ? "\xff\xfe" : variant == "number" ? "127.0.0.1:9"
                                                                                    : "\\udcff\\udcfe";
    const std::string slots = variant == "number" ? "1e400" : "6";
    return "{\"Service\":\"dwumadie\",\"Address\":\"" + address + "\",\"Zone\":\"tema\",\"Version\":\"v1\",\"Slots\":" + slots + ",\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":1}";
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
        record.line("run " + id + " at " + self.id());
        sleepMs(20);
        return channel.write(httpAnswer(200, "OK", "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Type: text/plain\r\n", "roster for " + id));
    };
    std::vector<std::unique_ptr<worker>> workers;
    for (int number = 1; number <= 3; ++number)
        workers.push_back(std::make_unique<worker>(worker::options { "dwumadie-" + std::to_string(number), service, "east-legon", "127.0.0.1", 6 }, registry, "v1", onRequest));
    const auto routers = startRouters(3, registry.address(), options.folder, options.command);
    sleepMs(2000);

    // The requests of a phase: all that were sent, and those that were answered with success.
    struct phase {
        int sent = 0;
        int served = 0;
    };
    int number = 0;
    const auto send = [&](int durationMs) {
        phase counts;
        for (const auto until = steady::now() + milliseconds(durationMs); steady::now() < until; sleepMs(requestGapMs)) {
            const auto& target = *routers[static_cast<std::size_t>(++number) % routers.size()];
            const auto id = "read-" + std::to_string(number);
            record.line("sent " + id + " to " + target.name());
            ++counts.sent;
            const auto channel = connectTo(target.host(), target.frontPort());
            received_answer answer;
            if (channel && channel->write(std::string("GET ") + prefix + "2f HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + key + "\r\n\r\n"))
                answer = readAnswer(*channel, steady::now() + milliseconds(deadlineMs));
            counts.served += answer.status == 200 && answer.complete ? 1 : 0;
            record.line("answered " + id + (channel ? " status " + std::to_string(answer.status) : " no channel"));
        }
        return counts;
    };

    const auto before = send(4000);
    record.note("before: " + std::to_string(before.served) + " of " + std::to_string(before.sent) + " requests served");
    if (options.trouble) {
        registry.putText("servers", "legacy-agent", foreignEntry());
        record.note("another writer has put the entry legacy-agent, whose bytes can't be read");
    }
    sleepMs(1000);
    for (const auto& item : routers)
        item->kill(SIGKILL);
    record.note("all routers are killed");
    sleepMs(downMs);
    for (const auto& item : routers)
        item->start();
    record.note("all routers are started again");
    send(recoveryMs);
    int ready = 0;
    for (const auto& item : routers)
        ready += item->isReady() ? 1 : 0;
    record.note(std::to_string(ready) + " of " + std::to_string(routers.size()) + " routers are ready " + std::to_string(recoveryMs) + " ms after the start");
    const auto after = send(measuredMs);
    record.note("later than RecoveryS: " + std::to_string(after.served) + " of " + std::to_string(after.sent) + " requests served");
    if (before.served * 4 < before.sent)
        cannotRun("too few requests were served before the disruption");
    const bool broken = after.served * 4 < after.sent;
    record.note(broken ? "RECOVER broken" : "RECOVER held");
    return broken ? 1 : 0;
}
