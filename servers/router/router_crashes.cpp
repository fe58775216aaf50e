#include "servers/router/router_reducer.h"

#include "core/hash.h"

#include <algorithm>
#include <cstdio>

// Which requests a router suspects of crashing upstreams, and which it refuses for it.

namespace kumquat::router {

namespace {

    // A stream that still delivers events this long after its first one has not crashed its upstream.
    constexpr auto survivalTime = std::chrono::milliseconds(100);
    // A request whose suspects have this many crashes against them, not yet enough to refuse it, is not retried.
    constexpr int crashesBeforeNoRetry = 2;

    // A caller that repeats a request uses a new request id, so the hash covers target, organisation and body instead.
    std::uint64_t hashRequest(const request_progress& progress)
    {
        const auto& request = *progress.request;
        return hashBytes(request.body, hashBytes(request.target, hashBytes(progress.organisation)));
    }

    // The same part may be harmless to the engines of another service.
    std::uint64_t hashPart(const std::string& service, std::uint64_t part)
    {
        return hashBytes(service, part);
    }

    // The parts of a prompt that other requests may share. The last one belongs to one request only.
    std::size_t sharedPartCount(const prompt_description& prompt)
    {
        return prompt.parts.empty() ? 0 : prompt.parts.size() - 1;
    }

    std::vector<crash_suspect> promptSuspects(const request_progress& progress)
    {
        const auto& prompt = progress.request->prompt;
        std::vector<crash_suspect> suspects;
        for (std::size_t index = 0; index < sharedPartCount(prompt); ++index)
            suspects.push_back({ suspect_kind::prompt_part, hashPart(progress.service, prompt.parts[index].id) });
        return suspects;
    }

    const char* toString(suspect_kind kind)
    {
        return kind == suspect_kind::request ? "request" : "prompt_part";
    }

    std::string formatHex(std::uint64_t value)
    {
        char digits[17] = {};
        std::snprintf(digits, sizeof digits, "%llx", static_cast<unsigned long long>(value));
        return digits;
    }

} // namespace

// The request itself first, then the parts of its prompt in their order.
std::vector<crash_suspect> router_reducer::suspectsOf(const request_progress& progress)
{
    std::vector<crash_suspect> suspects { { suspect_kind::request, hashRequest(progress) } };
    const auto parts = promptSuspects(progress);
    suspects.insert(suspects.end(), parts.begin(), parts.end());
    return suspects;
}

std::string router_reducer::formatSharedParts(const request_progress& progress)
{
    // A log line names this many parts at most.
    constexpr std::size_t maxLoggedParts = 8;
    const auto& prompt = progress.request->prompt;
    std::string text;
    for (std::size_t index = 0; index < std::min(sharedPartCount(prompt), maxLoggedParts); ++index)
        text += (index == 0 ? "" : ",") + formatHex(prompt.parts[index].id);
    return text.empty() ? "none" : text;
}

std::optional<caller_error> router_reducer::refuseSuspect(const request_progress& progress) const
{
    if (m_crashes.empty())
        return std::nullopt;
    const auto suspects = suspectsOf(progress);
    for (std::size_t index = 0; index < suspects.size(); ++index) {
        const auto timeLeft = m_crashes.refusedFor(suspects[index], m_now);
        if (!timeLeft)
            continue;
        const auto what = index == 0 ? std::string("this request crashes") : "requests with the prompt part " + formatHex(progress.request->prompt.parts[index - 1].id) + " crash";
        return caller_error { error_code::crash_suspected, what + " upstreams", ran_state::no, std::chrono::ceil<std::chrono::milliseconds>(*timeLeft) };
    }
    return std::nullopt;
}

bool router_reducer::mayCrashUpstream(const request_progress& progress) const
{
    if (m_crashes.empty())
        return false;
    const auto suspects = suspectsOf(progress);
    return std::any_of(suspects.begin(), suspects.end(), [this](const crash_suspect& suspect) { return m_crashes.crashCount(suspect) >= crashesBeforeNoRetry; });
}

void router_reducer::logSuspectedRequest(const request_progress& progress, const upstream_state& upstream)
{
    if (m_crashes.empty())
        return;
    const auto suspect = suspectsOf(progress).front();
    const auto seen = m_crashes.crashesSeen(suspect);
    if (seen == 0)
        return;
    log(log_level::warning, "suspected_request_sent", { { "request", progress.request->requestId }, { "suspect", formatHex(suspect.id) }, { "upstream", upstream.record.id }, { "crashes_seen", std::to_string(seen) }, { "crashes_counted", std::to_string(m_crashes.crashCount(suspect)) } });
}

broken_attempt router_reducer::describeBroken(const request_progress& progress, const active_attempt& attempt) const
{
    broken_attempt broken;
    broken.suspects = attempt.answersSoundly ? std::vector { suspectsOf(progress).front() } : suspectsOf(progress);
    // Requests may differ only in the part of the prompt that is their own.
    const auto& parts = progress.request->prompt.parts;
    broken.request = static_cast<std::uint32_t>(hashPart(std::to_string(broken.suspects.front().id), parts.empty() ? 0 : parts.back().id));
    broken.brokenAt = m_now;
    return broken;
}

void router_reducer::recordSoundAnswer(request_progress& progress, active_attempt& attempt)
{
    attempt.answersSoundly = true;
    m_crashes.recordAnswer(promptSuspects(progress), *attempt.firstEventAt, news_origin::own, m_now);
    actOnNewRefusals();
}

void router_reducer::noteEvents(request_progress& progress, active_attempt& attempt)
{
    if (!attempt.firstEventAt)
        attempt.firstEventAt = m_now;
    else if (!attempt.answersSoundly && m_now - *attempt.firstEventAt >= survivalTime)
        recordSoundAnswer(progress, attempt);
}

void router_reducer::recordCompletion(request_progress& progress, const active_attempt& attempt)
{
    // What ends with its connection may have been cut off by a crash.
    const bool isSurelyComplete = !attempt.answer || !attempt.answer->head.endsWithConnection;
    if (isSurelyComplete)
        m_crashes.recordAnswer({ suspectsOf(progress).front() }, m_now, news_origin::own, m_now);
    if (isSurelyComplete || attempt.answersSoundly)
        m_crashes.recordAnswer(promptSuspects(progress), attempt.firstEventAt.value_or(m_now), news_origin::own, m_now);
}

void router_reducer::actOnNewRefusals()
{
    for (const auto& suspect : m_crashes.takeLiftedRefusals()) {
        log(log_level::info, "suspect_cleared", { { "kind", toString(suspect.kind) }, { "suspect", formatHex(suspect.id) } });
        m_refusalStore.remove(suspect);
    }
    const auto refusals = m_crashes.takeNewRefusals();
    if (refusals.empty())
        return;
    for (const auto& [suspect, crashes] : refusals) {
        log(log_level::warning, "suspect_refused", { { "kind", toString(suspect.kind) }, { "suspect", formatHex(suspect.id) }, { "crashes", std::to_string(crashes) }, { "known_from", crashes == 0 ? "peer" : "crashes" } });
        emit(count_metric { "kumquat_router_refused_suspects_total", { { "kind", toString(suspect.kind) } } });
        if (crashes > 0)
            m_refusalStore.save(suspect, m_now);
    }
    cancelRefusedAttempts();
}

// Takes requests that are refused now back from upstreams that have not begun to answer them, before they crash these.
void router_reducer::cancelRefusedAttempts()
{
    std::vector<caller_id> refused;
    for (const auto& [caller, progress] : m_requests) {
        const bool waits = !progress.attempts.empty() && !progress.replyStarted;
        if (waits && refuseSuspect(progress))
            refused.push_back(caller);
    }
    for (const auto caller : refused) {
        auto& progress = m_requests.at(caller);
        progress.mayHaveRunCount += static_cast<int>(progress.attempts.size());
        cancelAttempts(progress);
        answerWithFailure(progress);
    }
}

} // namespace kumquat::router
