#pragma once

#include "tests/support/fleet_fixture.h"

#include <map>
#include <set>

namespace kumquat::router {

// A fleet of routers before upstreams of several software versions. Callers follow streams and take up again, at other routers, those
// that break off. Each event tells the version that wrote it, so that a stream that was joined from two versions shows itself in
// what its caller received.
class resumption_fixture {
public:
    struct options {
        std::size_t routers = 4;
        std::size_t dataCentres = 4;
        unsigned seed = 1;
        // Between two new streams, over all routers.
        duration streamInterval = milliseconds(40);
        int eventsPerStream = 12;
        duration eventInterval = milliseconds(80);
        // How often a caller sends its stream's request, with the first time.
        int maxTries = 3;
        // Between the end of a try and the next one.
        duration tryDelay = milliseconds(3);
        // Whether callers name the request that brought the first event of a stream which they take up.
        bool namesFirstRequest = true;
    };

    // One process of an upstream, which may differ from what the store's record says.
    struct upstream_process {
        std::string id;
        std::string version;
        std::int64_t startedUnixMs = 0;
    };

    // What became of the streams since a time.
    struct tally {
        int begun = 0;
        int sent = 0;
        int wentOn = 0;
        int takenUp = 0;

        double beganShare() const { return sent == 0 ? 1 : static_cast<double>(begun) / sent; }
        double wentOnShare() const { return takenUp == 0 ? 1 : static_cast<double>(wentOn) / takenUp; }
    };

    // Versions of the upstreams that serve at first, one entry for each.
    resumption_fixture(const options& fleetOptions, const std::vector<std::string>& versions)
        : fleet(fleetOptions.seed)
        , m_options(fleetOptions)
        , m_random(fleetOptions.seed)
    {
        fleet.records.clear();
        fleet.recordsSent = false;
        fleet.net.resolution = milliseconds(1);
        for (const auto& version : versions)
            addUpstream(version);
        fleet.onEffect = [this](std::size_t router, const router_effect& effect) { m_effects.emplace_back(router, effect); };
        fleet.seeds.resize(std::min(fleet.seeds.size(), m_options.routers));
        for (std::size_t number = 0; number < m_options.routers; ++number)
            fleet.add("dc-" + std::to_string(fleet.size() % m_options.dataCentres));
        m_nextStream = fleet.now() + seconds(4);
    }

    // Starts an upstream of a version, with its record, and returns its id.
    std::string addUpstream(const std::string& version, const std::string& service = "llm")
    {
        const auto id = "upstream-" + std::to_string(++m_lastUpstream);
        m_processes[id] = { id, version, nextStart() };
        fleet.putRecord(recordOf(id, service));
        return id;
    }
    // Breaks off all attempts at an upstream. Its record stays until it is removed.
    void crash(const std::string& upstream)
    {
        m_processes.erase(upstream);
        breakAttempts([&upstream](const running_attempt& item) { return item.process.id == upstream; });
    }
    // Crashes an upstream and removes its record.
    void lose(const std::string& upstream)
    {
        crash(upstream);
        fleet.removeRecord(upstream);
    }
    // Restarts a crashed upstream under its id with another version. The record tells of it only if it is written.
    void restart(const std::string& upstream, const std::string& version, bool writesRecord)
    {
        m_processes[upstream] = { upstream, version, nextStart() };
        if (writesRecord)
            fleet.putRecord(recordOf(upstream, "llm"));
    }
    // Tells in its record that an upstream is leaving.
    void drain(const std::string& upstream)
    {
        auto record = recordOf(upstream, "llm");
        record.leaving = true;
        fleet.putRecord(record);
    }
    std::vector<std::string> upstreamsOf(const std::string& version) const
    {
        std::vector<std::string> ids;
        for (const auto& [id, process] : m_processes) {
            if (process.version == version)
                ids.push_back(id);
        }
        return ids;
    }

    // Kills a router: the connections of its callers break, and new ones are refused until it is restarted.
    void killRouter(std::size_t router)
    {
        fleet.kill(router);
        std::erase_if(m_running, [router](const running_attempt& item) { return item.router == router; });
        for (auto& [caller, tried] : m_tries) {
            if (tried.router == router)
                m_brokenTries.push_back(caller);
        }
    }
    void restartRouter(std::size_t router)
    {
        killRouter(router);
        fleet.restart(router);
    }

    void run(duration elapsed)
    {
        const auto end = fleet.now() + elapsed;
        while (fleet.now() < end) {
            fleet.run(timeStep);
            startStreams();
            advanceAttempts();
            processEffects();
            takeUpBroken();
        }
    }
    // Sends no new streams from now on.
    void stopNewStreams() { m_startsStreams = false; }
    void resumeNewStreams()
    {
        m_startsStreams = true;
        m_nextStream = fleet.now();
    }

    // Streams whose callers received events of several versions.
    int joinedStreams() const
    {
        return static_cast<int>(std::count_if(m_streams.begin(), m_streams.end(), [](const auto& item) { return item.second.versions.size() > 1; }));
    }
    int completeStreams() const
    {
        return static_cast<int>(std::count_if(m_streams.begin(), m_streams.end(), [](const auto& item) { return item.second.complete; }));
    }
    tally tallySince(instant from) const
    {
        tally counts;
        for (const auto& item : m_tryRecords) {
            if (item.sentAt < from || !item.counts)
                continue;
            ++(item.isTakeUp ? counts.takenUp : counts.sent);
            if (item.hasEvent)
                ++(item.isTakeUp ? counts.wentOn : counts.begun);
        }
        return counts;
    }

    // Whether a take-up at a router counts in the tally. By default each one does.
    std::function<bool(std::size_t)> isInTouch = [](std::size_t) { return true; };
    // Draws the router that a try reaches.
    std::function<std::size_t(std::mt19937_64&)> drawRouter = [this](std::mt19937_64& random) { return random() % fleet.size(); };
    // Changes the request of a take-up before it is sent.
    std::function<void(proxied_request&)> changeTakeUp = [](proxied_request&) {};
    // Limits and pauses that an upstream names in its answers.
    std::function<void(const std::string&, upstream_answer&)> changeAnswer = [](const std::string&, upstream_answer&) {};
    // How long an upstream takes until the first event of an attempt.
    duration firstEventDelay = milliseconds(150);

    // The refusals of requests that take up a stream, with the time that they took.
    struct timed_refusal {
        caller_error refusal;
        duration elapsed {};
    };
    std::vector<timed_refusal> takeUpRefusals;
    // Attempts that were started with a check of the upstream's start, and all attempts.
    int checkedAttempts = 0;
    int attempts = 0;

    fleet_fixture fleet;

private:
    static constexpr auto timeStep = milliseconds(1);

    struct caller_stream {
        // The request that brought the first event.
        std::string firstRequest;
        std::set<std::string> versions;
        int lastEvent = 0;
        int tries = 0;
        bool complete = false;
    };
    struct active_try {
        std::string stream;
        std::string requestId;
        std::size_t router = 0;
        std::size_t record = 0;
    };
    struct try_record {
        instant sentAt;
        bool isTakeUp = false;
        bool counts = true;
        bool hasEvent = false;
    };
    struct running_attempt {
        std::size_t router = 0;
        attempt_number number = 0;
        upstream_process process;
        int nextEvent = 1;
        instant nextEventAt;
        bool headSent = false;
    };

    std::int64_t nextStart() { return ++m_lastStart; }

    upstream_record recordOf(const std::string& id, const std::string& service) const
    {
        const auto& process = m_processes.at(id);
        auto record = router_fixture::makeUpstream(id, service, static_cast<std::uint16_t>(1000 + std::stoi(id.substr(id.find('-') + 1))));
        record.version = process.version;
        record.startedUnixMs = process.startedUnixMs;
        record.slots = 64;
        return record;
    }

    void startStreams()
    {
        for (; m_startsStreams && m_nextStream <= fleet.now(); m_nextStream += m_options.streamInterval) {
            const auto name = "stream-" + std::to_string(++m_lastStream);
            m_streams[name] = {};
            send(name);
        }
    }

    // Sends a stream's request for the first time, or takes the stream up after the last event that arrived.
    void send(const std::string& name)
    {
        auto& stream = m_streams[name];
        const auto router = drawLivingRouter();
        if (!router || ++stream.tries > m_options.maxTries)
            return;
        proxied_request item;
        item.requestId = name + "-" + std::to_string(stream.tries);
        item.method = "POST";
        item.target = "/stream/x";
        item.path = item.target;
        item.host = "host";
        item.apiKey = "key-a";
        item.callerTimeout = seconds(10);
        item.prompt.parts = { { 100 + m_random() % 20, 1000 }, { hashBytes(name), 200 } };
        item.prompt.inputTokens = 1200;
        const bool isTakeUp = stream.lastEvent > 0;
        if (isTakeUp) {
            item.lastEventId = static_cast<std::uint64_t>(stream.lastEvent);
            item.resumedRequestId = m_options.namesFirstRequest ? stream.firstRequest : "";
            changeTakeUp(item);
        }
        m_tryRecords.push_back({ fleet.now(), isTakeUp, isInTouch(*router) });
        active_try tried { name, item.requestId, *router, m_tryRecords.size() - 1 };
        const auto caller = fleet.request(*router, std::move(item));
        m_tries[caller] = std::move(tried);
    }

    std::optional<std::size_t> drawLivingRouter()
    {
        for (int draws = 0; draws < 50; ++draws) {
            const auto router = drawRouter(m_random);
            if (fleet.isAlive(router))
                return router;
        }
        return std::nullopt;
    }

    // Effects are processed after the step that emitted them, since their handling posts events.
    void processEffects()
    {
        while (!m_effects.empty()) {
            const auto effects = std::exchange(m_effects, {});
            for (const auto& [router, effect] : effects)
                observe(router, effect);
        }
    }

    void observe(std::size_t router, const router_effect& effect)
    {
        if (const auto* attempt = std::get_if<start_attempt>(&effect))
            reach(router, *attempt);
        if (const auto* cancelled = std::get_if<cancel_attempt>(&effect))
            std::erase_if(m_running, [&](const running_attempt& item) { return item.router == router && item.number == cancelled->attemptNumber; });
        if (const auto* appended = std::get_if<append_reply>(&effect))
            receive(appended->caller, appended->bytes);
        if (const auto* ended = std::get_if<end_reply>(&effect))
            finishTry(ended->caller, true);
        if (const auto* aborted = std::get_if<abort_reply>(&effect))
            finishTry(aborted->caller, false);
        if (const auto* refused = std::get_if<refuse_reply>(&effect)) {
            const auto found = m_tries.find(refused->caller);
            if (found != m_tries.end() && m_tryRecords[found->second.record].isTakeUp)
                takeUpRefusals.push_back({ refused->refusal, fleet.now() - m_tryRecords[found->second.record].sentAt });
            finishTry(refused->caller, false);
        }
    }

    void reach(std::size_t router, const start_attempt& attempt)
    {
        ++attempts;
        const auto process = m_processes.find(attempt.upstreamId);
        if (process == m_processes.end())
            return fleet.post(router, attempt_aborted { attempt.attemptNumber, false, "refused", connection_outcome::refused });
        if (attempt.requiredStartUnixMs) {
            ++checkedAttempts;
            if (process->second.startedUnixMs != *attempt.requiredStartUnixMs)
                return fleet.post(router, attempt_aborted { attempt.attemptNumber, false, "another process answers at the address" });
        }
        const auto after = attempt.resumeAfter ? attempt.resumeAfter : attempt.request->lastEventId;
        m_running.push_back({ router, attempt.attemptNumber, process->second, static_cast<int>(after.value_or(0)) + 1, fleet.now() + firstEventDelay });
    }

    void advanceAttempts()
    {
        for (std::size_t index = 0; index < m_running.size();) {
            if (m_running[index].nextEventAt > fleet.now() || !sendNext(m_running[index]))
                ++index;
            else
                m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    // Sends the next event of an attempt. Returns whether it has ended.
    bool sendNext(running_attempt& item)
    {
        const auto router = item.router;
        const auto number = item.number;
        if (!item.headSent) {
            item.headSent = true;
            auto answer = router_fixture::answer(200, true, true);
            changeAnswer(item.process.id, answer);
            fleet.post(router, answer_started { number, std::move(answer) });
        }
        const bool isLast = item.nextEvent >= m_options.eventsPerStream;
        const auto event = "id: " + std::to_string(item.nextEvent++) + "\ndata: " + item.process.version + "\n\n";
        item.nextEventAt = fleet.now() + m_options.eventInterval;
        fleet.post(router, answer_continued { number, event });
        if (isLast)
            fleet.post(router, answer_ended { number });
        return isLast;
    }

    template <typename Predicate>
    void breakAttempts(Predicate isBroken)
    {
        std::vector<running_attempt> broken;
        std::copy_if(m_running.begin(), m_running.end(), std::back_inserter(broken), isBroken);
        std::erase_if(m_running, isBroken);
        for (const auto& item : broken) {
            if (fleet.isAlive(item.router))
                fleet.post(item.router, attempt_aborted { item.number, true, "End of file" });
        }
        processEffects();
    }

    // A caller reads events, each with its number and the version that wrote it.
    void receive(caller_id caller, const std::string& events)
    {
        const auto found = m_tries.find(caller);
        if (found == m_tries.end())
            return;
        auto& stream = m_streams[found->second.stream];
        for (std::size_t start = 0; start < events.size();) {
            const auto end = events.find("\n\n", start);
            const auto event = events.substr(start, end - start);
            const auto data = event.find("\ndata: ");
            stream.versions.insert(event.substr(data + std::string("\ndata: ").size()));
            stream.lastEvent = std::stoi(event.substr(4, data - 4));
            start = end + 2;
        }
        if (stream.firstRequest.empty())
            stream.firstRequest = found->second.requestId;
        m_tryRecords[found->second.record].hasEvent = true;
    }

    void finishTry(caller_id caller, bool isComplete)
    {
        const auto found = m_tries.find(caller);
        if (found == m_tries.end())
            return;
        m_streams[found->second.stream].complete |= isComplete;
        if (!isComplete)
            m_brokenTries.push_back(caller);
        else
            m_tries.erase(found);
    }

    void takeUpBroken()
    {
        for (const auto caller : std::exchange(m_brokenTries, {})) {
            const auto found = m_tries.find(caller);
            if (found == m_tries.end())
                continue;
            m_takeUps.emplace(fleet.now() + m_options.tryDelay, found->second.stream);
            m_tries.erase(found);
        }
        while (!m_takeUps.empty() && m_takeUps.begin()->first <= fleet.now()) {
            const auto stream = m_takeUps.begin()->second;
            m_takeUps.erase(m_takeUps.begin());
            send(stream);
        }
        processEffects();
    }

    options m_options;
    std::mt19937_64 m_random;
    std::map<std::string, upstream_process> m_processes;
    int m_lastUpstream = 0;
    std::int64_t m_lastStart = 1000;
    bool m_startsStreams = true;
    instant m_nextStream;
    int m_lastStream = 0;
    std::map<std::string, caller_stream> m_streams;
    // The tries in progress, by the caller's connection.
    std::map<caller_id, active_try> m_tries;
    std::vector<try_record> m_tryRecords;
    std::vector<caller_id> m_brokenTries;
    std::multimap<instant, std::string> m_takeUps;
    std::vector<running_attempt> m_running;
    std::vector<std::pair<std::size_t, router_effect>> m_effects;
};

} // namespace kumquat::router
