// One part of a prompt crashes each worker that begins to answer on it: do requests with it stop reaching workers after the fifth crash?

#include "stand_in.hpp"

#include <random>

using namespace stand_in;

namespace {

constexpr const char* service = "kasa";
constexpr const char* host = "ficu95.example";
constexpr const char* prefix = "/lohu930/";
constexpr const char* key = "n2ctnfzs989anu6wsjnb";
constexpr const char* badPart = "bad666";
constexpr int engineCount = 3;
constexpr int subjectCount = 10;
constexpr int soundGapMs = 40;
constexpr int badGapMs = 30;
constexpr int prefillMs = 200;
constexpr int eventCount = 20;
constexpr int eventGapMs = 50;
constexpr int restartMs = 4000;
constexpr int timeoutMs = 10000;
constexpr int measuredMs = 26000;
// ContactMs of the settings, and what the rule allows later than that after the fifth crash.
constexpr int contactMs = 3000;
constexpr int allowedArrivals = 3;

json configuration()
{
    const json route { { "Name", "round-checklist" }, { "Host", host }, { "PathPrefix", prefix }, { "Kind", "streaming" }, { "TimeoutMs", timeoutMs }, { "SloMs", 250 }, { "Priority", 0 },
        { "Service", service }, { "MaxAttempts", 2 }, { "Anonymous", false }, { "Affinity", true }, { "Resumable", true }, { "GapTargetMs", 150 } };
    const json engine { { "Slots", 64 }, { "KvCapacity", 1221218 }, { "Stride", 5 }, { "Models", { { { "Name", "m" } } } } };
    return { { "Version", 7 }, { "Routes", { route } }, { "Services", { { { "Name", service }, { "HealthPath", "/healthz" }, { "MaxConns", 620 }, { "Protocol", "h1" }, { "Tls", false }, { "Engine", engine } } } },
        { "Limits", { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 4194304 }, { "HeaderTimeoutMs", 3000 }, { "IdleTimeoutMs", 15000 } } }, { "Tenants", { { { "Name", "hule930" }, { "ApiKeys", { key } }, { "Priority", 1 } } } } };
}

// The engines. One that crashes is back after some seconds, as a new boot with a new id.
class engine_pool {
public:
    engine_pool(store& registry, recorder& record)
        : m_registry(registry)
        , m_record(record)
    {
        for (int number = 0; number < engineCount; ++number)
            startOne();
        m_supervisor = std::thread([this] { supervise(); });
    }
    ~engine_pool()
    {
        m_ending = true;
        m_supervisor.join();
    }

    std::optional<std::int64_t> timeOfCrash(std::size_t number)
    {
        const std::lock_guard lock(m_mutex);
        return m_crashTimes.size() < number ? std::nullopt : std::optional(m_crashTimes[number - 1]);
    }
    std::size_t crashes()
    {
        const std::lock_guard lock(m_mutex);
        return m_crashTimes.size();
    }
    int badArrivalsAfter(std::int64_t time)
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<int>(std::count_if(m_badArrivals.begin(), m_badArrivals.end(), [time](std::int64_t at) { return at > time; }));
    }

private:
    struct engine {
        std::string id;
        std::atomic<bool> crashing { false };
        std::unique_ptr<worker> process;
        std::int64_t restartAt = 0;
    };

    void startOne()
    {
        auto added = std::make_shared<engine>();
        added->id = "kasa-" + std::to_string(++m_lastEngine);
        const auto weak = std::weak_ptr<engine>(added);
        added->process = std::make_unique<worker>(worker::options { added->id, service, m_lastEngine % 2 == 0 ? "tema" : "east-legon" }, m_registry, "v1",
            [this, raw = added.get()](worker&, const http_message& request, connection& channel) { return serve(*raw, request, channel); });
        m_engines.push_back(std::move(added));
    }

    bool serve(engine& self, const http_message& request, connection& channel)
    {
        const auto id = request.header("x-attempt-id");
        const bool isBad = request.header("x-prompt-prefix").find(badPart) != std::string::npos;
        m_record.line("arrived " + id + (isBad ? " with the part" : "") + " at " + self.id);
        if (isBad) {
            const std::lock_guard lock(m_mutex);
            m_badArrivals.push_back(m_record.since());
        }
        for (int waited = 0; waited < prefillMs; waited += 10) {
            if (self.crashing || channel.peerHasLeft())
                return false;
            sleepMs(10);
        }
        if (isBad) {
            self.crashing = true;
            return false;
        }
        const auto last = request.header("last-event-id");
        if (!channel.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int number = last.empty() ? 1 : std::atoi(last.c_str()) + 1; number <= eventCount; ++number) {
            const auto event = "id: " + std::to_string(number) + "\ndata: token\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (self.crashing || !channel.write(size + event + "\r\n") || channel.peerHasLeft())
                return false;
            sleepMs(eventGapMs);
        }
        return channel.write("0\r\n\r\n");
    }

    void supervise()
    {
        while (!m_ending) {
            sleepMs(1);
            const auto now = m_record.since();
            for (std::size_t index = 0; index < m_engines.size(); ++index) {
                auto& item = *m_engines[index];
                if (item.crashing && item.restartAt == 0) {
                    {
                        const std::lock_guard lock(m_mutex);
                        m_crashTimes.push_back(now);
                    }
                    m_record.note("crash " + std::to_string(m_crashTimes.size()) + ": " + item.id);
                    item.restartAt = now + restartMs;
                    item.process->crash();
                }
                if (item.restartAt != 0 && now >= item.restartAt) {
                    m_registry.remove("servers", item.id);
                    // The stand-in of the old process is kept until the end; nothing listens there.
                    m_retired.push_back(m_engines[index]);
                    m_engines.erase(m_engines.begin() + static_cast<std::ptrdiff_t>(index));
                    startOne();
                    break;
                }
            }
        }
    }

    store& m_registry;
    recorder& m_record;
    std::mutex m_mutex;
    std::vector<std::int64_t> m_crashTimes;
    std::vector<std::int64_t> m_badArrivals;
    std::vector<std::shared_ptr<engine>> m_engines;
    std::vector<std::shared_ptr<engine>> m_retired;
    int m_lastEngine = 0;
    std::atomic<bool> m_ending { false };
    std::thread m_supervisor;
};

} // namespace

int main(int count, char** values)
{
    const auto options = parseArguments(count, values);
    recorder record(options.record);
    store registry;
    registry.put("config", "main", configuration());
    engine_pool engines(registry, record);
    const auto routers = startRouters(2, registry.address(), options.folder, options.command);
    sleepMs(contactMs);

    std::mt19937 random(std::random_device {}());
    std::atomic<int> soundSent { 0 };
    std::atomic<int> soundBegun { 0 };
    // When a sound stream that had begun was broken off for good.
    std::mutex brokenMutex;
    std::vector<std::int64_t> brokenAt;
    int lastRequest = 0;
    std::vector<std::thread> consumers;
    const auto send = [&](bool isBad) {
        const auto id = "request-" + std::to_string(++lastRequest);
        const auto subject = std::to_string(100 + random() % subjectCount) + ":1000";
        // The bad part is the first one; sound requests have the other parts.
        const auto parts = (isBad ? std::string(badPart) + ":1000," : "7:1000,") + subject + "," + std::to_string(100000 + lastRequest) + ":200";
        const auto& target = *routers[random() % routers.size()];
        record.line("sent " + id + (isBad ? " with the part" : "") + " to " + target.name());
        consumers.emplace_back([&, id, parts, isBad, number = &target] {
            const auto channel = connectTo(number->host(), number->frontPort());
            received_answer answer;
            if (channel && channel->write(std::string("POST ") + prefix + "2f HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Model: m\r\nX-Token-Usage: 2200,100\r\nX-Prompt-Prefix: " + parts + "\r\nX-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\nAuthorization: Bearer " + key + "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id))
                answer = readAnswer(*channel, steady::now() + milliseconds(timeoutMs));
            record.line("answered " + id + " status " + std::to_string(answer.status));
            if (isBad)
                return;
            ++soundSent;
            soundBegun += answer.status == 200 ? 1 : 0;
            if (answer.status != 200 || answer.complete)
                return;
            record.line("broken off " + id);
            const std::lock_guard lock(brokenMutex);
            brokenAt.push_back(record.since());
        });
    };
    auto nextSound = record.since();
    auto nextBad = nextSound;
    const auto end = nextSound + measuredMs;
    while (record.since() < end) {
        for (; nextSound <= record.since(); nextSound += soundGapMs)
            send(false);
        for (; nextBad <= record.since(); nextBad += badGapMs) {
            if (options.trouble)
                send(true);
        }
        sleepMs(2);
    }
    for (auto& consumer : consumers)
        consumer.join();
    const auto fifth = engines.timeOfCrash(5);
    const int late = fifth ? engines.badArrivalsAfter(*fifth + contactMs) : 0;
    record.note(std::to_string(engines.crashes()) + " crashes; " + (fifth ? std::to_string(late) + " requests with the part reached a worker later than ContactMs after the fifth crash, " + std::to_string(allowedArrivals) + " are allowed" : "fewer than five"));
    const auto lateBreaks = fifth ? std::count_if(brokenAt.begin(), brokenAt.end(), [&](std::int64_t at) { return at > *fifth + contactMs; }) : 0;
    record.note(std::to_string(lateBreaks) + " sound streams that had begun were broken off for good in that time");
    record.note(std::to_string(soundBegun) + " of " + std::to_string(soundSent) + " sound requests were answered with a stream");
    const bool broken = late > allowedArrivals;
    record.note(broken ? "BUDGET broken" : "BUDGET held");
    return broken ? 1 : 0;
}
