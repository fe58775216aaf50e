#include "servers/explain/request_timeline.h"

#include <algorithm>
#include <set>

namespace kumquat {

namespace {

    // Time before the first and after the last line of a request within which other lines may explain its outcome.
    constexpr auto contextBefore = std::chrono::seconds(5);
    constexpr auto contextAfter = std::chrono::seconds(1);

    // Returns whether the event affects all requests of the process that logged it.
    bool affectsAllRequests(const log_line& line)
    {
        static const std::set<std::string, std::less<>> events { "store_lost", "store_regained", "confirmation_failed", "config_adopted", "config_unusable", "clock_jumped", "settings_changed", "watch_behind_peers",
            "router_started", "router_terminating", "router_stopped", "router_stopped_with_requests" };
        return events.contains(line.event);
    }

    bool belongsTo(const log_line& line, const std::string& requestId)
    {
        const auto* id = line.find("request");
        return id && *id == requestId;
    }

    std::string valueOr(const log_line& line, std::string_view name, const std::string& fallback)
    {
        const auto* value = line.find(name);
        return value ? *value : fallback;
    }

    const log_line* findLast(const std::vector<log_line>& lines, std::string_view event)
    {
        const auto found = std::find_if(lines.rbegin(), lines.rend(), [event](const log_line& line) { return line.event == event; });
        return found == lines.rend() ? nullptr : &*found;
    }

    std::string describeOutcome(const std::vector<log_line>& requestLines)
    {
        const auto* refused = findLast(requestLines, "request_refused");
        const auto* failed = findLast(requestLines, "send_failed");
        const auto* finished = findLast(requestLines, "request_finished");
        if (refused)
            return "refused with " + valueOr(*refused, "status", "?") + ", ran: " + valueOr(*refused, "ran", "?") + ", because: " + valueOr(*refused, "reason", "?")
                + (failed ? "; the last attempt failed: " + valueOr(*failed, "reason", "?") : "");
        if (finished && failed)
            return valueOr(*finished, "outcome", "?") + "; the last failed attempt: " + valueOr(*failed, "reason", "?");
        if (finished)
            return valueOr(*finished, "outcome", "?") + " after " + valueOr(*finished, "ms", "?") + " ms";
        return "unknown";
    }

    std::vector<std::string> findMissing(const std::vector<log_line>& requestLines, const std::vector<log_line>& all)
    {
        std::vector<std::string> missing;
        const auto* sent = findLast(requestLines, "request_sent");
        const auto* finished = findLast(requestLines, "request_finished");
        if (!finished && !findLast(requestLines, "request_refused"))
            missing.emplace_back("the end of the request: its process may have been killed or may have dropped log lines");
        if (finished && !sent)
            missing.emplace_back("the attempts of the request: log lines may have been dropped");
        for (const auto& line : all) {
            if (line.event == "log_lines_dropped" && !requestLines.empty() && line.source == requestLines.front().source)
                missing.push_back(valueOr(line, "count", "some") + " log lines that " + line.source + " dropped");
        }
        return missing;
    }

} // namespace

request_timeline buildRequestTimeline(const std::string& requestId, const std::vector<log_line>& all)
{
    std::vector<log_line> requestLines;
    std::set<std::string> sources;
    std::set<std::string> upstreams;
    for (const auto& line : all) {
        if (!belongsTo(line, requestId))
            continue;
        requestLines.push_back(line);
        sources.insert(line.source);
        if (const auto* upstream = line.find("upstream"))
            upstreams.insert(*upstream);
    }
    request_timeline timeline;
    if (requestLines.empty())
        return timeline;
    const auto byTime = [](const log_line& left, const log_line& right) { return left.time < right.time; };
    std::stable_sort(requestLines.begin(), requestLines.end(), byTime);
    const auto from = requestLines.front().time - contextBefore;
    const auto until = requestLines.back().time + contextAfter;
    for (const auto& line : all) {
        const bool isNear = line.time >= from && line.time <= until;
        const auto* upstream = line.find("upstream");
        const bool concernsUpstream = upstream && upstreams.contains(*upstream) && !line.find("request");
        const bool concernsProcess = sources.contains(line.source) && affectsAllRequests(line);
        if (belongsTo(line, requestId) || (isNear && (concernsUpstream || concernsProcess)))
            timeline.lines.push_back(line);
    }
    std::stable_sort(timeline.lines.begin(), timeline.lines.end(), byTime);
    timeline.outcome = describeOutcome(requestLines);
    timeline.missing = findMissing(requestLines, all);
    return timeline;
}

std::string formatRequestTimeline(const std::string& requestId, const request_timeline& timeline)
{
    std::string text;
    for (const auto& line : timeline.lines)
        text += line.source + " " + line.text + "\n";
    text += "request " + requestId + " ended: " + timeline.outcome + "\n";
    for (const auto& item : timeline.missing)
        text += "missing: " + item + "\n";
    return text;
}

} // namespace kumquat
