#pragma once

#include "tests/support/fleet_fixture.h"

#include <cstdlib>
#include <limits>
#include <map>
#include <set>

namespace kumquat::router {

// How many seeds a test runs: the usual number, or that of KUMQUAT_TEST_SEEDS for a longer run by hand.
inline unsigned seedCount(unsigned usual)
{
    const auto* text = std::getenv("KUMQUAT_TEST_SEEDS");
    return text ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : usual;
}

// A fleet of routers before upstreams that name limits in their answers. Upstreams, callers and the network run in virtual time,
// and each attempt that reaches an upstream is recorded.
class rate_limit_fixture {
public:
    struct options {
        std::size_t routers = 4;
        std::size_t dataCentres = 2;
        int upstreams = 9;
        unsigned seed = 1;
        // Between two requests, over all routers.
        duration requestInterval = milliseconds(40);
        // Requests for /stream/x run at model engines, others at plain services.
        std::string path = "/stream/x";
        // Of the attempts: which end without a complete answer, and which the upstream refuses without running them.
        double brokenShare = 0;
        double refusedShare = 0;
        duration answerTime = milliseconds(200);
    };

    explicit rate_limit_fixture(const options& fleetOptions)
        : fleet(fleetOptions.seed)
        , m_options(fleetOptions)
        , m_random(fleetOptions.seed)
    {
        const bool isStream = isStreamPath(m_options.path);
        fleet.records.clear();
        fleet.recordsSent = false;
        fleet.net.resolution = milliseconds(5);
        for (int number = 0; number < m_options.upstreams; ++number)
            fleet.records.push_back(router_fixture::makeUpstream(upstreamId(number), isStream ? "llm" : "app", static_cast<std::uint16_t>(1000 + number)));
        fleet.onEffect = [this](std::size_t router, const router_effect& effect) { observe(router, effect); };
        fleet.seeds.resize(std::min(fleet.seeds.size(), m_options.routers));
        for (std::size_t number = 0; number < m_options.routers; ++number)
            addRouter();
        fleet.run(seconds(4));
        m_nextRequest = fleet.now();
    }

    static std::string upstreamId(int number) { return "upstream-" + std::to_string(number); }
    void addRouter() { fleet.add("dc-" + std::to_string(fleet.size() % m_options.dataCentres)); }

    // From now on the upstream names this limit in its answers, or none.
    void setLimit(int upstream, std::optional<double> requestsPerSecond) { m_limits[upstreamId(upstream)].push_back({ fleet.now(), requestsPerSecond }); }
    void setLimits(std::optional<double> requestsPerSecond)
    {
        for (int number = 0; number < m_options.upstreams; ++number)
            setLimit(number, requestsPerSecond);
    }
    void setRequestInterval(duration interval) { m_options.requestInterval = interval; }
    // Whether the router with an address is in a data centre.
    bool isIn(const std::string& address, const std::string& dataCentre) const { return fleet.dataCentreOf(address) == dataCentre; }
    // Restarts a router, which has then been told of no limit.
    void restartRouter(std::size_t router)
    {
        std::erase_if(m_running, [router](const running_attempt& item) { return item.router == router; });
        std::erase_if(m_toldAt, [router](const auto& item) { return item.first.first == router; });
        fleet.restart(router);
    }
    // What is sent from now on by a router counts for no limit, as that router was restarted, suspended or cut off.
    void excuse(std::size_t router) { m_excusedRouters.insert(router); }

    void run(duration elapsed)
    {
        const auto end = fleet.now() + elapsed;
        while (fleet.now() < end) {
            fleet.run(timeStep);
            sendDue();
            runUpstreams();
        }
    }

    // By how many requests the worst span of four seconds at the upstream exceeds what its limit allows; negative if none does.
    // Requests count from routers that had an answer with a limit at least half a second before.
    double worstExcess(int upstream) const
    {
        const auto id = upstreamId(upstream);
        std::vector<instant> counted;
        for (const auto& item : m_arrivals) {
            if (item.upstream == id && item.counts)
                counted.push_back(item.at);
        }
        double worst = -allowedBurst;
        for (std::size_t last = 0; last < counted.size(); ++last) {
            const auto from = counted[last] - window;
            const auto first = std::upper_bound(counted.begin(), counted.end(), from);
            const auto count = static_cast<double>(counted.begin() + static_cast<std::ptrdiff_t>(last) + 1 - first);
            worst = std::max(worst, count - allowedBetween(id, from, counted[last]));
        }
        return worst;
    }
    double worstExcess() const
    {
        double worst = -allowedBurst;
        for (int number = 0; number < m_options.upstreams; ++number)
            worst = std::max(worst, worstExcess(number));
        return worst;
    }

    // The requests a second that reached the upstream since a time.
    double arrivalRate(int upstream, instant from) const
    {
        const auto count = std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const arrival& item) { return item.upstream == upstreamId(upstream) && item.at >= from; });
        return static_cast<double>(count) / std::chrono::duration<double>(fleet.now() - from).count();
    }
    // The same for all upstreams together.
    double arrivalRate(instant from) const
    {
        double rate = 0;
        for (int number = 0; number < m_options.upstreams; ++number)
            rate += arrivalRate(number, from);
        return rate;
    }
    // The share of the requests since a time whose answer was complete; of those for one path, if one is given.
    double answeredShare(instant from, const std::string& path = "") const
    {
        int sent = 0;
        int answered = 0;
        for (const auto& [id, request] : m_requests) {
            const bool counts = request.sentAt >= from && fleet.now() - request.sentAt > seconds(2) && (path.empty() || request.path == path);
            sent += counts ? 1 : 0;
            answered += counts && request.answered ? 1 : 0;
        }
        return sent == 0 ? 1 : static_cast<double>(answered) / sent;
    }
    // Whether a router knows that an upstream names a limit.
    bool knowsLimit(std::size_t router, int upstream) const
    {
        const auto known = fleet.reducer(router).upstreams().find(upstreamId(upstream));
        return known && known->quota && known->quota->limit.stated();
    }

    // The refusals of routers.
    std::vector<caller_error> refusals;
    duration longestWaitForRefusal {};
    // Draws the path of each request.
    std::function<std::string(std::mt19937_64&)> drawPath = [this](std::mt19937_64&) { return m_options.path; };
    // Draws the router that a request reaches.
    std::function<std::size_t(std::mt19937_64&)> drawRouter = [this](std::mt19937_64& random) { return random() % fleet.size(); };

    fleet_fixture fleet;

private:
    static constexpr auto timeStep = milliseconds(10);
    static constexpr auto window = seconds(4);
    static constexpr auto reactionTime = milliseconds(500);
    // Before a limit counts that was named for the first time.
    static constexpr auto noticeTime = seconds(3);
    static constexpr double allowedShare = 1.5;
    static constexpr double allowedBurst = 5;

    struct limit_change {
        instant at;
        std::optional<double> requestsPerSecond;
    };
    struct arrival {
        std::string upstream;
        instant at;
        // The limit of the upstream applies to it.
        bool counts = false;
    };
    struct running_attempt {
        std::size_t router = 0;
        attempt_number number = 0;
        std::string upstream;
        shared_request request;
        instant endsAt;
    };
    struct sent_request {
        instant sentAt;
        std::string path;
        bool answered = false;
        // The events of its stream so far.
        int events = 0;
    };

    static bool isStreamPath(const std::string& path) { return path.starts_with("/stream/") || path.starts_with("/oneshot/"); }

    std::optional<double> limitAt(const std::string& upstream, instant time) const
    {
        std::optional<double> limit;
        const auto found = m_limits.find(upstream);
        if (found == m_limits.end())
            return limit;
        for (const auto& change : found->second) {
            if (change.at <= time)
                limit = change.requestsPerSecond;
        }
        return limit;
    }

    // Routers have the reaction time to follow a lower limit. The first limit allows as much before it was named.
    double allowedBetween(const std::string& upstream, instant from, instant to) const
    {
        double allowed = allowedBurst;
        const auto firstNamedAt = m_limits.at(upstream).front().at;
        for (auto time = from; time < to; time += milliseconds(100)) {
            const auto current = limitAt(upstream, std::max(firstNamedAt, time));
            const auto before = limitAt(upstream, std::max(firstNamedAt, time - reactionTime));
            if (!current || !before)
                return std::numeric_limits<double>::infinity();
            allowed += allowedShare * std::max(*current, *before) * 0.1;
        }
        return allowed;
    }

    bool limitApplies(std::size_t router, const std::string& upstream) const
    {
        const auto limits = m_limits.find(upstream);
        const auto told = m_toldAt.find({ router, upstream });
        return limits != m_limits.end() && fleet.now() >= limits->second.front().at + noticeTime && told != m_toldAt.end() && fleet.now() >= told->second + reactionTime && !m_excusedRouters.contains(router);
    }

    void observe(std::size_t router, const router_effect& effect)
    {
        if (const auto* attempt = std::get_if<start_attempt>(&effect)) {
            m_arrivals.push_back({ attempt->upstreamId, fleet.now(), limitApplies(router, attempt->upstreamId) });
            m_running.push_back({ router, attempt->attemptNumber, attempt->upstreamId, attempt->request, fleet.now() + m_options.answerTime });
        }
        if (const auto* cancelled = std::get_if<cancel_attempt>(&effect))
            std::erase_if(m_running, [&](const running_attempt& item) { return item.router == router && item.number == cancelled->attemptNumber; });
        if (const auto* refused = std::get_if<refuse_reply>(&effect)) {
            refusals.push_back(refused->refusal);
            longestWaitForRefusal = std::max(longestWaitForRefusal, fleet.now() - m_requests[refused->requestId].sentAt);
        }
    }

    void sendDue()
    {
        for (; m_nextRequest <= fleet.now(); m_nextRequest += m_options.requestInterval) {
            const auto router = drawRouter(m_random);
            if (!fleet.isAlive(router))
                continue;
            proxied_request item;
            item.requestId = "request-" + std::to_string(++m_lastRequest);
            item.method = "POST";
            item.target = drawPath(m_random);
            item.path = item.target;
            item.host = "host";
            item.apiKey = "key-a";
            item.callerTimeout = seconds(10);
            item.prompt.parts = { { 100 + m_random() % 20, 1000 }, { hashBytes(item.requestId), 200 } };
            item.prompt.inputTokens = 1200;
            m_requests[item.requestId] = { fleet.now(), item.path };
            fleet.request(router, std::move(item));
        }
    }

    void runUpstreams()
    {
        std::vector<running_attempt> due;
        for (const auto& item : m_running) {
            if (item.endsAt <= fleet.now())
                due.push_back(item);
        }
        std::erase_if(m_running, [this](const running_attempt& item) { return item.endsAt <= fleet.now(); });
        for (const auto& item : due) {
            if (fleet.isAlive(item.router))
                end(item);
        }
    }

    void end(const running_attempt& item)
    {
        const double draw = std::uniform_real_distribution<>(0, 1)(m_random);
        const bool isRefused = draw < m_options.refusedShare;
        const bool isBroken = !isRefused && draw < m_options.refusedShare + m_options.brokenShare;
        const bool isStream = isStreamPath(item.request->path);
        auto answer = isRefused ? router_fixture::refusal() : router_fixture::answer(200, true, isStream);
        if (const auto limit = limitAt(item.upstream, fleet.now())) {
            answer.rateLimit = *limit;
            m_toldAt.emplace(std::pair(item.router, item.upstream), fleet.now());
        }
        const auto number = item.number;
        fleet.post(item.router, answer_started { number, std::move(answer) });
        if (isRefused)
            return;
        auto& request = m_requests[item.request->requestId];
        fleet.post(item.router, answer_continued { number, isStream ? "id: " + std::to_string(++request.events) + "\ndata: x\n\n" : "x" });
        if (isBroken)
            return fleet.post(item.router, attempt_aborted { number, true, "End of file" });
        request.answered = true;
        fleet.post(item.router, answer_ended { number });
    }

    options m_options;
    std::mt19937_64 m_random;
    std::map<std::string, std::vector<limit_change>> m_limits;
    std::map<std::pair<std::size_t, std::string>, instant> m_toldAt;
    std::set<std::size_t> m_excusedRouters;
    std::vector<arrival> m_arrivals;
    std::vector<running_attempt> m_running;
    std::map<std::string, sent_request> m_requests;
    instant m_nextRequest;
    int m_lastRequest = 0;
};

} // namespace kumquat::router
