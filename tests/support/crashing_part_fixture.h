#pragma once

#include "tests/support/fleet_fixture.h"

#include <map>
#include <set>

namespace kumquat::router {

// A fleet of routers before model engines that crash when they begin to answer a bad request: one whose prompt has a bad part, or one
// request that its caller repeats. The engines, the callers and the network run in virtual time.
class crashing_part_fixture {
public:
    struct options {
        std::size_t routers = 1;
        int engines = 9;
        unsigned seed = 1;
        duration badRequestInterval = milliseconds(700);
        // How many bad requests are sent at a time, each to a router drawn by itself.
        int badRequestsAtOnce = 1;
        // The bad requests are repeats of one, whose prompt has no bad part.
        bool repeatsRequest = false;
        // How often requests with the bad part are sent beside those repeats; never if it is zero.
        duration besideInterval {};
        // How engines crash on a bad request: before an answer, or after the first event of a stream that ends with its connection.
        bool crashesAfterFirstEvent = false;
        // The share of the sound requests that are repeats of one.
        double hotShare = 0;
        // The share of the routers' connection checks that have an outcome.
        double answeredCheckShare = 1;
        // How long an engine that has crashed is away.
        duration engineDownTime = seconds(4);
        int dataCentres = 2;
        duration soundRequestInterval = milliseconds(40);
        // Where the bad part stands in the prompts that have it.
        bool badPartIsFirst = false;
        // Whether each request has a body of its own.
        bool hasBodies = true;
    };

    static constexpr std::uint64_t commonPart = 7;
    static constexpr std::uint64_t firstSubject = 100;
    static constexpr std::uint64_t badPart = 666;

    explicit crashing_part_fixture(options fleetOptions)
        : fleet(fleetOptions.seed)
        , m_options(fleetOptions)
        , m_random(fleetOptions.seed)
    {
        fleet.records.clear();
        for (int number = 1; number <= m_options.engines; ++number)
            fleet.records.push_back(makeEngine());
        fleet.onEffect = [this](std::size_t router, const router_effect& effect) { observe(router, effect); };
        for (std::size_t number = 0; number < m_options.routers; ++number)
            fleet.add("dc-" + std::to_string(number % static_cast<std::size_t>(m_options.dataCentres)));
        fleet.run(seconds(3));
        m_nextBad = fleet.now();
        m_nextSound = fleet.now();
        m_nextBeside = fleet.now();
    }

    void run(duration elapsed)
    {
        const auto end = fleet.now() + elapsed;
        while (fleet.now() < end) {
            fleet.run(timeStep);
            restartEngines();
            sendDue();
            answerChecks();
            runEngines();
        }
    }

    // The prompt of a request with its number of shared parts, each given by its id.
    proxied_request makeRequest(const std::vector<std::uint64_t>& sharedParts)
    {
        proxied_request item;
        item.requestId = "request-" + std::to_string(++m_lastRequest);
        item.method = "POST";
        item.target = "/stream/x";
        item.path = item.target;
        item.host = "host";
        item.apiKey = "key-a";
        item.callerTimeout = seconds(10);
        item.body = m_options.hasBodies ? item.requestId : std::string();
        for (const auto part : sharedParts)
            item.prompt.parts.push_back({ part, 1000 });
        item.prompt.parts.push_back({ hashBytes(item.requestId), 200 });
        item.prompt.inputTokens = static_cast<int>(1000 * sharedParts.size()) + 200;
        return item;
    }

    // The bad requests that the functions below count are the repeats where the options have them, otherwise those with the bad part.
    int crashes() const { return static_cast<int>(counted().crashTimes.size()); }
    // When the crash with that number, from 1, took place; far in the future if there was none.
    instant timeOfCrash(std::size_t number) const
    {
        const auto& times = counted().crashTimes;
        return number <= times.size() ? times[number - 1] : fleet.now() + std::chrono::hours(1);
    }
    // How many attempts of bad requests were started after a time.
    int badAttemptsAfter(instant time) const
    {
        return countAfter(counted().attempts, time);
    }
    // How many of these reached an engine.
    int badArrivalsAfter(instant time) const
    {
        return countAfter(counted().arrivals, time);
    }
    // The share of the sound requests with a shared part, sent after a time, of which an answer began.
    double answeredShare(std::uint64_t part, instant from) const
    {
        int sent = 0;
        int answered = 0;
        for (const auto& [id, request] : m_soundRequests) {
            const bool counts = request.sentAt >= from && request.parts.contains(part);
            sent += counts ? 1 : 0;
            answered += counts && request.answered ? 1 : 0;
        }
        return sent == 0 ? 1 : static_cast<double>(answered) / sent;
    }

    // Crashes the engine with that position among those in the store, for another reason than a request.
    void crashEngine(std::size_t position) { crash(fleet.records[position].id); }
    // How often a router began to refuse a prompt part or a request.
    int refusedParts = 0;
    int refusedRequests = 0;
    // Whether the bad part still crashes engines, and whether requests with it are sent.
    bool partIsBad = true;
    bool sendsBadRequests = true;
    // Sound requests draw their second shared part from this many.
    std::uint64_t subjects = 10;

    fleet_fixture fleet;

private:
    static constexpr auto timeStep = milliseconds(10);
    static constexpr auto prefillTime = milliseconds(200);
    static constexpr auto eventInterval = milliseconds(50);
    static constexpr int eventCount = 20;

    struct running_attempt {
        std::size_t router = 0;
        attempt_number number = 0;
        std::string engine;
        shared_request request;
        instant nextAt;
        int events = 0;
        bool started = false;
        // The engine is gone: the attempt ends at the next step, with or without part of the request sent.
        bool broken = false;
        bool refused = false;
    };

    // What became of the bad requests of one kind.
    struct bad_requests {
        std::vector<instant> crashTimes;
        std::vector<instant> attempts;
        // The attempts that reached a living engine.
        std::vector<instant> arrivals;
    };

    struct sound_request {
        std::set<std::uint64_t> parts;
        instant sentAt;
        bool answered = false;
    };

    // A router to which callers can connect.
    std::size_t livingRouter()
    {
        for (;;) {
            const auto number = m_random() % fleet.size();
            if (fleet.isAlive(number))
                return number;
        }
    }

    static constexpr const char* repeatedBody = "repeated";
    static constexpr const char* hotBody = "hot";

    static int countAfter(const std::vector<instant>& times, instant time)
    {
        return static_cast<int>(std::count_if(times.begin(), times.end(), [time](instant sentAt) { return sentAt > time; }));
    }

    const bad_requests& counted() const { return m_options.repeatsRequest ? m_repeats : m_withBadPart; }
    bad_requests& kindOf(const proxied_request& request) { return request.body == repeatedBody ? m_repeats : m_withBadPart; }

    // Each repeat has a request id of its own.
    proxied_request makeRepeatedRequest()
    {
        auto request = makeRequest({ commonPart, firstSubject });
        request.body = repeatedBody;
        request.prompt.parts.back().id = hashBytes(repeatedBody);
        return request;
    }

    proxied_request makeBadRequest()
    {
        const auto subject = subjectPart();
        return makeRequest(m_options.badPartIsFirst ? std::vector<std::uint64_t> { badPart, subject } : std::vector<std::uint64_t> { commonPart, badPart });
    }

    std::uint64_t subjectPart() { return firstSubject + m_random() % subjects; }

    bool isBad(const proxied_request& request) const
    {
        return request.body == repeatedBody || std::any_of(request.prompt.parts.begin(), request.prompt.parts.end(), [](const prompt_part& part) { return part.id == badPart; });
    }

    void observe(std::size_t router, const router_effect& effect)
    {
        if (const auto* refused = std::get_if<log_event>(&effect); refused && refused->name == "suspect_refused")
            countRefusal(*refused);
        if (const auto* attempt = std::get_if<start_attempt>(&effect))
            start(router, *attempt);
        if (const auto* check = std::get_if<check_connection>(&effect))
            m_checks.push_back({ router, *check });
        if (const auto* cancelled = std::get_if<cancel_attempt>(&effect))
            std::erase_if(m_running, [&](const running_attempt& item) { return item.router == router && item.number == cancelled->attemptNumber; });
    }

    void countRefusal(const log_event& event)
    {
        for (const auto& [name, value] : event.fields) {
            if (name == "kind" && value == "prompt_part")
                ++refusedParts;
            if (name == "kind" && value == "request")
                ++refusedRequests;
        }
    }

    void start(std::size_t router, const start_attempt& attempt)
    {
        running_attempt item { router, attempt.attemptNumber, attempt.upstreamId, attempt.request, fleet.now() + prefillTime };
        item.refused = m_dead.contains(item.engine);
        if (isBad(*item.request))
            kindOf(*item.request).attempts.push_back(fleet.now());
        if (isBad(*item.request) && !item.refused)
            kindOf(*item.request).arrivals.push_back(fleet.now());
        m_running.push_back(std::move(item));
    }

    // Each start of an engine has an id and a port of its own.
    upstream_record makeEngine()
    {
        const auto id = "llm-" + std::to_string(++m_lastEngine);
        return router_fixture::makeUpstream(id, "llm", portOf(id));
    }

    static std::uint16_t portOf(const std::string& engine)
    {
        return static_cast<std::uint16_t>(1000 + std::stoi(engine.substr(4)));
    }

    void crash(const std::string& engine)
    {
        if (!m_dead.insert(engine).second)
            return;
        m_restarts.emplace(fleet.now() + m_options.engineDownTime, engine);
        for (auto& item : m_running)
            item.broken = item.broken || item.engine == engine;
    }

    void restartEngines()
    {
        while (!m_restarts.empty() && m_restarts.begin()->first <= fleet.now()) {
            const auto engine = m_restarts.begin()->second;
            m_restarts.erase(m_restarts.begin());
            fleet.replaceRecord(engine, makeEngine());
        }
    }

    void sendDue()
    {
        for (; m_nextSound <= fleet.now(); m_nextSound += m_options.soundRequestInterval)
            sendSound();
        for (; m_nextBad <= fleet.now(); m_nextBad += m_options.badRequestInterval) {
            for (int number = 0; sendsBadRequests && number < m_options.badRequestsAtOnce; ++number)
                fleet.request(livingRouter(), m_options.repeatsRequest ? makeRepeatedRequest() : makeBadRequest());
        }
        for (; m_options.besideInterval > duration {} && m_nextBeside <= fleet.now(); m_nextBeside += m_options.besideInterval)
            fleet.request(livingRouter(), makeBadRequest());
    }

    void sendSound()
    {
        auto request = makeRequest({ commonPart, subjectPart() });
        const bool isHot = m_options.hotShare > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < m_options.hotShare;
        if (isHot)
            request.body = hotBody;
        auto& record = m_soundRequests[request.requestId];
        record.sentAt = fleet.now();
        for (std::size_t index = 0; index + 1 < request.prompt.parts.size(); ++index)
            record.parts.insert(request.prompt.parts[index].id);
        fleet.request(livingRouter(), std::move(request));
    }

    void runEngines()
    {
        std::erase_if(m_running, [this](const running_attempt& item) { return !fleet.isAlive(item.router); });
        for (const auto& item : std::vector<running_attempt>(m_running)) {
            const auto found = std::find_if(m_running.begin(), m_running.end(), [&](const running_attempt& other) { return other.router == item.router && other.number == item.number; });
            if (found != m_running.end())
                advance(*found);
        }
    }

    void answerChecks()
    {
        for (const auto& pending : std::exchange(m_checks, {})) {
            if (m_options.answeredCheckShare < 1 && std::uniform_real_distribution<>(0, 1)(m_random) >= m_options.answeredCheckShare) {
                fleet.post(pending.first, connection_checked { pending.second.check, connection_outcome::unknown });
                continue;
            }
            const auto port = pending.second.target.port;
            const bool isDead = std::any_of(m_dead.begin(), m_dead.end(), [port](const std::string& engine) { return portOf(engine) == port; });
            fleet.post(pending.first, connection_checked { pending.second.check, isDead ? connection_outcome::refused : connection_outcome::accepted });
        }
    }

    void advance(running_attempt& item)
    {
        // An answer without a length ends with its connection, also if the engine is gone.
        if (item.broken && item.started && m_options.crashesAfterFirstEvent)
            return endAnswer(item);
        if (item.refused || item.broken)
            return end(item, item.refused ? attempt_aborted { item.number, false, "Connection refused", connection_outcome::refused } : attempt_aborted { item.number, true, "End of file" });
        if (fleet.now() < item.nextAt)
            return;
        if (partIsBad && isBad(*item.request) && item.started == m_options.crashesAfterFirstEvent) {
            kindOf(*item.request).crashTimes.push_back(fleet.now());
            return crash(item.engine);
        }
        answer(item);
    }

    void endAnswer(const running_attempt& item)
    {
        const auto router = item.router;
        const auto number = item.number;
        remove(router, number);
        fleet.post(router, answer_ended { number });
    }

    void answer(running_attempt& item)
    {
        const auto router = item.router;
        const auto number = item.number;
        item.nextAt = fleet.now() + eventInterval;
        const bool isFirst = !std::exchange(item.started, true);
        const auto event = "id: " + std::to_string(++item.events) + "\ndata: x\n\n";
        const bool isLast = item.events == eventCount;
        if (const auto sound = m_soundRequests.find(item.request->requestId); sound != m_soundRequests.end())
            sound->second.answered = true;
        if (isLast)
            remove(router, number);
        if (isFirst) {
            auto head = router_fixture::answer(200, true, true);
            head.head.endsWithConnection = m_options.crashesAfterFirstEvent;
            fleet.post(router, answer_started { number, std::move(head) });
        }
        fleet.post(router, answer_continued { number, event });
        if (isLast)
            fleet.post(router, answer_ended { number });
    }

    void remove(std::size_t router, attempt_number number)
    {
        std::erase_if(m_running, [&](const running_attempt& item) { return item.router == router && item.number == number; });
    }

    void end(const running_attempt& item, attempt_aborted event)
    {
        const auto router = item.router;
        remove(router, item.number);
        fleet.post(router, std::move(event));
    }

    options m_options;
    std::mt19937_64 m_random;
    std::vector<running_attempt> m_running;
    std::vector<std::pair<std::size_t, check_connection>> m_checks;
    std::set<std::string> m_dead;
    std::multimap<instant, std::string> m_restarts;
    bad_requests m_withBadPart;
    bad_requests m_repeats;
    std::map<std::string, sound_request> m_soundRequests;
    instant m_nextSound;
    instant m_nextBad;
    instant m_nextBeside;
    int m_lastRequest = 0;
    int m_lastEngine = 0;
};

} // namespace kumquat::router
