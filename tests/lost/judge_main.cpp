// Applies the lines of the rule LOST to what clients, workers and the operator have noted, and to nothing else. Prints each case and the
// excuse of each request that has one, counts all requests that ended without an answer, and exits with 1 if the rule was broken.

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace {

// The bounds of both deployments.
constexpr std::int64_t second = 1'000'000;
constexpr std::int64_t contact = 3 * second;
constexpr std::int64_t grace = 8 * second;
constexpr std::int64_t lossSlack = 200'000;
constexpr std::int64_t configDeadline = 2 * second;
constexpr std::int64_t acceptance = 3 * second;
constexpr int maxLostOnKept = 3;
constexpr int minTakeUps = 12;

struct request {
    std::string id;
    int router = 0;
    std::string kind;
    std::string repeatability;
    std::string type;
    std::string form;
    std::string connection;
    std::int64_t timeMs = 0;
    std::int64_t connectedAt = 0;
    std::int64_t firstSentAt = 0;
    std::int64_t lastSentAt = 0;
    std::int64_t firstReadAt = 0;
    std::int64_t endedAt = 0;
    std::string end;
    int status = 0;

    bool isAnswered() const { return end.starts_with("answer"); }
    std::int64_t limit() const { return firstSentAt + timeMs * 1000; }
};

struct arrival {
    std::string worker;
    std::int64_t arrivedAt = 0;
    std::int64_t admittedAt = 0;
    std::int64_t begunAt = 0;
    std::int64_t endedAt = 0;
    std::string outcome;
};

struct event {
    std::int64_t at = 0;
    std::string action;
    // 0 for all of them.
    int router = 0;
};

class lost_judge {
public:
    lost_judge(const std::string& clientNotes, const std::string& workerNotes, const std::string& events)
    {
        std::ifstream requestLines(clientNotes);
        for (request item; requestLines >> item.id >> item.router >> item.kind >> item.repeatability >> item.type >> item.form >> item.connection >> item.timeMs >> item.connectedAt >> item.firstSentAt >> item.lastSentAt >> item.firstReadAt >> item.endedAt >> item.end >> item.status;)
            m_requests.push_back(item);
        std::ifstream arrivalLines(workerNotes);
        std::string id;
        for (arrival item; arrivalLines >> id >> item.worker >> item.arrivedAt >> item.admittedAt >> item.begunAt >> item.endedAt >> item.outcome;)
            m_arrivals[id].push_back(item);
        std::ifstream eventLines(events);
        for (event item; eventLines >> item.at >> item.action >> item.router;)
            m_events.push_back(item);
    }

    bool hasRequests() const { return !m_requests.empty(); }

    // Returns whether the rule was kept.
    bool judge()
    {
        std::map<std::string, int> ends;
        std::map<std::string, int> unanswered;
        std::map<std::string, int> excuses;
        for (const auto& item : m_requests) {
            ++ends[item.isAnswered() ? std::to_string(item.status) : item.end];
            if (item.isAnswered())
                continue;
            ++unanswered[describe(item)];
            judgeKept(item);
            if (const auto work = plannedWork(item)) {
                const auto excuse = excuseOf(item, *work);
                if (excuse.empty())
                    m_cases.push_back({ &item, *work });
                else
                    ++excuses[*work + ", " + excuse];
            }
        }
        removeUsualConfigCuts(excuses);
        std::cout << m_requests.size() << " requests:";
        for (const auto& [end, count] : ends)
            std::cout << ' ' << end << ' ' << count;
        std::cout << '\n';
        for (const auto& [text, count] : unanswered)
            std::cout << "without an answer: " << count << ' ' << text << '\n';
        for (const auto& [text, count] : excuses)
            std::cout << "excused: " << count << ' ' << text << '\n';
        for (const auto& item : m_cases)
            std::cout << "LOST planned work: " << item.work << ": " << traceOf(*item.lost) << '\n';
        for (const auto* item : m_keptCases)
            std::cout << "LOST kept channel: " << traceOf(*item) << '\n';
        const bool streamsGoOn = judgeTakeUps();
        std::cout << "LOST planned work " << m_cases.size() << " (0 allowed), kept channels " << m_keptCases.size() << " (" << maxLostOnKept << " allowed), take-ups " << (streamsGoOn ? "kept" : "broken") << std::endl;
        return m_cases.empty() && m_keptCases.size() <= maxLostOnKept && streamsGoOn;
    }

private:
    struct lost_case {
        const request* lost;
        std::string work;
    };

    // The last event of one of these kinds at the router, or at all, in the span.
    const event* lastEvent(const std::vector<std::string>& actions, int router, std::int64_t from, std::int64_t to) const
    {
        const event* last = nullptr;
        for (const auto& item : m_events) {
            if (std::find(actions.begin(), actions.end(), item.action) != actions.end() && (item.router == router || item.router == 0) && item.at >= from && item.at <= to)
                last = &item;
        }
        return last;
    }

    const event* termination(const request& item) const { return lastEvent({ "terminated" }, item.router, item.endedAt - grace - second, item.endedAt); }

    const std::vector<arrival>& arrivalsOf(const request& item) const
    {
        static const std::vector<arrival> none;
        const auto found = m_arrivals.find(item.id);
        return found == m_arrivals.end() ? none : found->second;
    }

    // Whether a span has a disruption of the router that was not planned.
    bool isDisrupted(int router, std::int64_t from, std::int64_t to) const
    {
        if (lastEvent({ "suspended", "resumed", "slowed", "unslowed" }, router, from, to) != nullptr)
            return true;
        const auto* begun = lastEvent({ "suspended", "slowed" }, router, 0, to);
        return begun != nullptr && lastEvent({ "resumed", "unslowed" }, router, begun->at, to) == nullptr;
    }

    bool isInTouch(int router, std::int64_t at) const
    {
        return lastEvent({ "started", "terminated", "killed" }, router, at - contact, at) == nullptr && !isDisrupted(router, at - contact, at);
    }

    // Rule LOST, at any time: a request from a kept channel is passed on to a sound worker, and the channel closes without an answer.
    // All workers are sound, and break nothing off.
    void judgeKept(const request& item)
    {
        if (item.connection == "kept" && (item.end == "close" || item.end == "reset") && item.firstReadAt == 0 && !arrivalsOf(item).empty() && isInTouch(item.router, item.endedAt))
            m_keptCases.push_back(&item);
    }

    // The planned work around the end of the request.
    std::optional<std::string> plannedWork(const request& item) const
    {
        if (termination(item) != nullptr)
            return "SIGTERM";
        if (lastEvent({ "reloaded" }, item.router, item.firstSentAt - configDeadline, item.endedAt) != nullptr)
            return "SIGHUP";
        if (isBesideConfig(item.endedAt))
            return "configuration";
        return std::nullopt;
    }

    // From the sending of a configuration until ConfigDeadlineMs + 1 s after its ack.
    bool isBesideConfig(std::int64_t at) const
    {
        if (lastEvent({ "acknowledged" }, 0, at - configDeadline - second, at) != nullptr)
            return true;
        const auto* sent = lastEvent({ "publishing" }, 0, 0, at);
        return sent != nullptr && lastEvent({ "acknowledged" }, 0, sent->at, at) == nullptr;
    }

    std::string excuseOf(const request& item, const std::string& work) const
    {
        const auto& arrivals = arrivalsOf(item);
        if (isDisrupted(item.router, item.firstSentAt - contact, item.endedAt))
            return "unplanned disruption";
        if (item.lastSentAt == 0)
            return "not sent whole";
        if (arrivals.empty() && item.endedAt <= item.lastSentAt + lossSlack)
            return "crossed the close, not passed on";
        // The platform allows to close the connection of a client that sends requests ahead of the answers.
        if (arrivals.empty() && item.end == "not_read")
            return "sent ahead of the answer that closed the connection, not passed on";
        if (item.endedAt >= item.limit())
            return "deadline or route timeout reached";
        const auto has = [&arrivals](auto condition) { return std::any_of(arrivals.begin(), arrivals.end(), condition); };
        if (has([&item](const arrival& work) { return work.outcome == "deadline" && work.endedAt <= item.endedAt; }))
            return "the worker broke off at its deadline";
        if (work != "SIGTERM")
            return {};
        const auto terminatedAt = termination(item)->at;
        const auto lastSixth = terminatedAt + grace - grace / 6;
        const bool isAtWork = has([lastSixth](const arrival& work) { return work.admittedAt != 0 && work.endedAt >= lastSixth; });
        return isAtWork && item.endedAt >= lastSixth && item.lastSentAt <= terminatedAt + acceptance ? "worker at work in the last sixth of the grace" : "";
    }

    // Beside a configuration a router has to cut over three times as often as at other times, and a request that has used seven tenths of
    // its time doesn't count.
    void removeUsualConfigCuts(std::map<std::string, int>& excuses)
    {
        std::int64_t begin = m_requests.empty() ? 0 : m_requests.front().endedAt;
        std::int64_t besideSteps = 0;
        std::int64_t otherSteps = 0;
        constexpr std::int64_t step = 100'000;
        for (auto at = begin; !m_requests.empty() && at < m_requests.back().endedAt; at += step)
            ++(isBesideConfig(at) ? besideSteps : otherSteps);
        std::map<int, std::pair<int, int>> cuts;
        for (const auto& item : m_requests) {
            if (!item.isAnswered() && item.lastSentAt != 0 && excuseOf(item, "").empty())
                ++(isBesideConfig(item.endedAt) ? cuts[item.router].first : cuts[item.router].second);
        }
        std::erase_if(m_cases, [&](const lost_case& item) {
            const auto& [beside, other] = cuts[item.lost->router];
            const bool isLate = (item.lost->endedAt - item.lost->firstSentAt) * 10 >= item.lost->timeMs * 1000 * 7;
            const bool isExcused = item.work == "configuration" && (isLate || beside * otherSteps <= 3 * other * besideSteps);
            if (isExcused)
                ++excuses[isLate ? "configuration, seven tenths of the time used" : "configuration, no more cuts than at other times"];
            return isExcused;
        });
    }

    // Rule LOST: of 12 or more streams that are taken up at machines in touch, the share that goes on is at least half of the share of new
    // streams that begin. Workers of one version serve all the time.
    bool judgeTakeUps() const
    {
        int takeUps = 0;
        int wentOn = 0;
        int streams = 0;
        int begun = 0;
        for (const auto& item : m_requests) {
            if (item.type != "stream" || !isInTouch(item.router, item.firstSentAt))
                continue;
            const bool hasBegun = item.status == 200;
            ++(item.form == "take_up" ? takeUps : streams);
            if (hasBegun)
                ++(item.form == "take_up" ? wentOn : begun);
        }
        std::cout << "take-ups " << takeUps << ", went on " << wentOn << "; new streams " << streams << ", began " << begun << '\n';
        return takeUps < minTakeUps || 2LL * wentOn * streams >= static_cast<std::int64_t>(begun) * takeUps;
    }

    std::string describe(const request& item) const
    {
        const auto* terminated = termination(item);
        const auto when = terminated == nullptr ? "outside a stop" : std::to_string((item.endedAt - terminated->at) / (second / 2) * 500) + " ms and more after SIGTERM";
        return item.end + ", " + (item.lastSentAt == 0 ? "sent in part" : "sent whole") + ", " + (arrivalsOf(item).empty() ? "not passed on" : "passed on") + ", " + (item.firstReadAt == 0 ? "no byte of the answer" : "answer begun") + (item.endedAt >= item.limit() ? ", time over, " : ", before its time, ") + when;
    }

    // All times in milliseconds from the first byte sent.
    std::string traceOf(const request& item) const
    {
        const auto relative = [&item](std::int64_t time) { return time == 0 ? std::string("-") : std::to_string((time - item.firstSentAt) / 1000); };
        auto text = item.id + " " + item.kind + " " + item.repeatability + " " + item.form + " " + item.connection + " at router " + std::to_string(item.router) + ": sent whole " + relative(item.lastSentAt) + ", first byte " + relative(item.firstReadAt) + ", " + item.end + " " + relative(item.endedAt) + " of " + std::to_string(item.timeMs);
        if (const auto* terminated = termination(item))
            text += ", SIGTERM " + relative(terminated->at) + " (ended " + std::to_string((item.endedAt - terminated->at) / 1000) + " after it)";
        for (const auto& work : arrivalsOf(item))
            text += "; " + work.worker + " arrived " + relative(work.arrivedAt) + " admitted " + relative(work.admittedAt) + " began " + relative(work.begunAt) + " " + work.outcome + " " + relative(work.endedAt);
        return text;
    }

    std::vector<request> m_requests;
    std::map<std::string, std::vector<arrival>> m_arrivals;
    std::vector<event> m_events;
    std::vector<lost_case> m_cases;
    std::vector<const request*> m_keptCases;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 4) {
        std::cerr << "usage: lost-judge CLIENT_NOTES WORKER_NOTES EVENTS\n";
        return 2;
    }
    lost_judge judge(arguments[1], arguments[2], arguments[3]);
    if (!judge.hasRequests()) {
        std::cerr << "no request was noted\n";
        return 2;
    }
    return judge.judge() ? 0 : 1;
}
