#pragma once

#include "core/clock.h"
#include "core/crash_report.h"
#include "servers/router/answer_history.h"
#include "servers/router/crash_evidence.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquat::router {

// Finds out which requests crash upstreams, and which requests are refused for it.
//
// Whatever an upstream had not begun to answer when it crashed is a suspect: each request by itself, and each part of a prompt that
// other requests may share. Many sound requests are there beside the one that crashes the upstream, so a suspect is refused only
// after several crashes without an answer in between. Once a prompt part is refused, the crashes that it explains no longer count
// against others.
class crash_tracker {
public:
    struct refusal {
        crash_suspect suspect;
        // The independent crashes that led to it, or 0 if another router reported the refusal.
        int crashes = 0;
    };

    // A request with the suspect was at the upstream with this key when it crashed. For what the other fields mean see crash_report.
    void recordCrash(const crash_report&, news_origin, instant now);
    // An upstream began to answer a request with the suspects at the given time, and did not crash on it.
    void recordAnswer(const std::vector<crash_suspect>&, instant answeredAt, news_origin, instant now);
    // Refuses the requests and prompt parts that are found to be the reason of crashes. To be called several times a second.
    void judgeSettled(instant now);
    // The refusals that began since the last call.
    std::vector<refusal> takeNewRefusals() { return std::exchange(m_newRefusals, {}); }

    // The suspects whose refusal ended since the last call because this router had an answer.
    std::vector<crash_suspect> takeLiftedRefusals() { return std::exchange(m_liftedRefusals, {}); }

    // True if there is neither a suspect nor a refusal, so that callers can skip computing the suspects of a request.
    bool empty() const { return m_crashes.empty() && m_refusals.empty(); }
    // How long requests with the suspect are refused from now on, or nothing if they are not refused.
    std::optional<duration> refusedFor(const crash_suspect&, instant now) const;
    // How many crashes count against the suspect.
    int crashCount(const crash_suspect&) const;
    // How many upstreams have crashed with the suspect, whether or not each of them counts.
    int crashesSeen(const crash_suspect&) const;

    // Merges what another router or the aggregator of another data centre reports.
    void learn(const crash_news&, news_origin, instant now);
    // What this router tells the others of its data centre, at most the given number of items. Each call goes on where the last
    // one ended.
    crash_news ownNews(std::size_t maxItems, instant now);
    // What the aggregator tells the other data centres.
    crash_news dataCentreNews(std::size_t maxItems, instant now);

private:
    // An answer to a suspect, and since when this router reports it.
    struct reported_answer {
        observed_answer answer;
        instant reportedSince;
    };
    // A refusal that has lapsed is kept for a time: one more crash renews it.
    struct refusal_state {
        instant lastCrashAt;
    };

    void expire(instant now);
    void evictOldestSuspect();
    // Adds the crash, or completes what is known of it. Returns false if it was known.
    bool addCrash(const crash_report&, news_origin, instant now);
    // Refuses a request if the crashes that count against it suffice, and prolongs or renews the refusal of any suspect.
    void judge(const crash_suspect&);
    // How many of the crashes count against a suspect: those at one moment only if no upstream has answered it before.
    int count(const crash_suspect&, const observed_crashes&) const;
    // Whether no upstream has answered the suspect lately, as far as this router would know.
    bool isNeverAnswered(const crash_suspect&) const;
    // Keeps the newest answer to a suspect, in place of the oldest of all if there are too many.
    void rememberAnswer(const crash_suspect&, const observed_answer&, instant now);
    // Takes over what is remembered of answers to a suspect when it is found at a crash.
    void recallAnswer(const crash_suspect&, instant now);
    // Whether the crashes suffice to refuse a suspect for them.
    bool isReason(const crash_suspect&, const observed_crashes&) const;
    bool isReasonablePart(const crash_suspect&, const observed_crashes&) const;
    bool isExplained(const observed_crash&) const;
    void refuse(const crash_suspect&, instant lastCrashAt, int crashes);
    // Returns what is known of the crash of an upstream at about that time.
    known_crash& findOrAddCrash(std::uint32_t upstream, instant at);
    // Removes a crash that a refused prompt part explains from the other parts. It still counts against requests: it takes three
    // crashes without an answer to refuse one, and that refuses nothing else.
    void explainCrash(known_crash&);
    bool explainsMostCrashes(const observed_crashes&) const;
    // Whether the first suspect, with its crashes, is a better reason for the crashes of the second one, a prompt part, than that.
    bool isBetterReason(const crash_suspect& other, const observed_crashes& otherCrashes, const crash_suspect&, const observed_crashes&) const;
    crash_news news(std::size_t maxItems, news_origin widest, instant now);

    // The crashes that count against each suspect, in the order of their times.
    std::unordered_map<crash_suspect, observed_crashes, crash_suspect_hash> m_crashes;
    std::vector<known_crash> m_knownCrashes;
    // The answers to suspects that were at crashes.
    std::unordered_map<crash_suspect, reported_answer, crash_suspect_hash> m_answers;
    // The answers to all others.
    answer_history m_history;
    std::unordered_map<crash_suspect, refusal_state, crash_suspect_hash> m_refusals;
    std::vector<refusal> m_newRefusals;
    std::vector<crash_suspect> m_liftedRefusals;
    std::size_t m_rotation = 0;
};

} // namespace kumquat::router
