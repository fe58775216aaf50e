#include "processes/duty_client.h"

#include "platform/duty_codec.h"
#include "platform/store_codec.h"

#include <chrono>

namespace kumquat {

namespace {

    // An answer of the store holds a few windows with the counts of all organisations.
    constexpr std::size_t maxAnswerBytes = 4U << 20U;

} // namespace

duty_client::duty_client(reactor& loop, connection_guard& guard, metrics_registry& metrics, std::function<std::uint64_t()> interruptions, std::function<void(duties::duty_event)> post)
    : m_metrics(metrics)
    , m_interruptions(std::move(interruptions))
    , m_post(std::move(post))
    , m_client(loop, guard, makeHandlers(), connection_side::store)
{
}

http_client::handlers duty_client::makeHandlers()
{
    return {
        .onHead = [this](call_id call, http_answer_head head) { m_calls[call].head = std::move(head); },
        .onBody = [this](call_id call, std::string_view bytes) {
            auto& body = m_calls[call].body;
            if (body.size() + bytes.size() <= maxAnswerBytes)
                body.append(bytes); },
        .onEnd = [this](call_id call) { finish(call); },
        .onFailed = [this](call_id call, const http_call_failure& failure) { fail(call, failure); },
        .onConnected = [this] { m_metrics.apply(count_metric { "kumquat_router_connections_total", { { "to", "duties" } } }); },
    };
}

void duty_client::start(const duties::call_duty_store& call, const endpoint& store)
{
    const bool isWrite = std::holds_alternative<duties::write_duty_record>(call.request);
    send(call.call, isWrite ? purpose::write_record : purpose::read_record, store, platform::encodeDutyCall(store, call.request), call.sendBefore);
}

void duty_client::start(const duties::send_usage_report& call, const endpoint& platformApi)
{
    send(call.call, purpose::report_usage, platformApi, platform::encodeUsageReport(platformApi, call.report, call.holder), call.sendBefore);
}

void duty_client::send(call_id id, purpose usedFor, const endpoint& target, std::string bytes, instant sendBefore)
{
    m_calls[id].usedFor = usedFor;
    http_call call;
    call.id = id;
    call.target = target;
    call.bytes = std::move(bytes);
    call.maySend = [this, sendBefore, interruptions = m_interruptions()] { return std::chrono::steady_clock::now() < sendBefore && m_interruptions() == interruptions; };
    m_client.start(std::move(call));
}

void duty_client::cancel(const duties::cancel_duty_call& cancelled)
{
    m_client.cancel(cancelled.call);
    m_calls.erase(cancelled.call);
}

void duty_client::finish(call_id call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    const auto completed = std::move(found->second);
    m_calls.erase(found);
    const auto status = completed.head.status;
    if (completed.usedFor == purpose::report_usage)
        return m_post(duties::usage_report_answered { call, status, {}, false });
    const auto era = platform::decodeEra(completed.head.headers);
    if (const auto* unreadable = errorOf(era))
        return m_post(duties::duty_store_answered { call, duties::duty_call_failed { unreadable->message }, std::nullopt });
    m_post(duties::duty_store_answered { call, platform::decodeDutyAnswer(completed.usedFor == purpose::write_record, status, completed.body), valueOf(era) });
}

void duty_client::fail(call_id call, const http_call_failure& failure)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    const auto usedFor = found->second.usedFor;
    m_calls.erase(found);
    if (usedFor == purpose::report_usage)
        return m_post(duties::usage_report_answered { call, std::nullopt, failure.reason, !failure.anyBytesSent });
    m_post(duties::duty_store_answered { call, duties::duty_call_failed { failure.reason }, std::nullopt });
}

} // namespace kumquat
