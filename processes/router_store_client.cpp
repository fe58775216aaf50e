#include "processes/router_store_client.h"

#include "core/overloaded.h"
#include "platform/store_codec.h"

#include <chrono>

namespace kumquat {

namespace {

    // A page of the records of 800 upstreams has under 1 MB, and so has a configuration. An answer without end must not take the memory
    // of callers, which are closed before an answer of the store.
    constexpr std::size_t maxAnswerBytes = 8'000'000;

} // namespace

router_store_client::router_store_client(reactor& loop, connection_guard& guard, metrics_registry& metrics, std::function<void(router::router_event)> post)
    : m_metrics(metrics)
    , m_post(std::move(post))
    , m_client(loop, guard, makeHandlers(), connection_side::store)
{
}

http_client::handlers router_store_client::makeHandlers()
{
    return {
        .onHead = [this](call_id call, const http_answer_head& head) { m_calls[call].head = head; },
        .onBody = [this](call_id call, std::string_view bytes) {
            auto& started = m_calls[call];
            started.body.append(bytes);
            if (started.body.size() > maxAnswerBytes)
                return refuseLargeAnswer(call, started.usedFor);
            m_post(router::store_read_progressed { call }); },
        .onEnd = [this](call_id call) { finish(call); },
        .onFailed = [this](call_id call, const http_call_failure& failure) {
            const auto usedFor = m_calls[call].usedFor;
            m_calls.erase(call);
            fail(call, usedFor, failure.reason); },
        .onConnected = [this] { m_metrics.apply(count_metric { "kumquat_router_connections_total", { { "to", "store" } } }); },
    };
}

void router_store_client::start(const router::read_store& read, const endpoint& store)
{
    const bool isUpstreams = read.kind == store_kind::upstreams;
    m_metrics.apply(count_metric { "kumquat_router_store_reads_total", { { "kind", isUpstreams ? "upstreams" : "configuration" } } });
    const auto bytes = read.sinceRevision ? platform::encodeWatch(read.kind, store, *read.sinceRevision, read.wait) : platform::encodeList(read.kind, store, read.after);
    send(read.read, isUpstreams ? purpose::read_upstreams : purpose::read_config, store, bytes);
}

void router_store_client::start(const router::call_refusal_store& call, const endpoint& store)
{
    const bool isList = std::holds_alternative<router::list_refusals>(call.request);
    m_metrics.apply(count_metric { isList ? "kumquat_router_store_reads_total" : "kumquat_router_store_writes_total", { { "kind", "refusals" } } });
    const auto now = std::chrono::system_clock::now();
    const auto encode = overloaded {
        [&](const router::list_refusals& list) { return platform::encodeRefusalList(store, list.after); },
        [&](const router::save_refusal& save) { return platform::encodeRefusal(store, save.refusal, save.replaces, now); },
        [&](const router::remove_refusal& removal) { return platform::encodeRefusalRemoval(store, removal.suspect); },
    };
    send(call.call, isList ? purpose::list_refusals : purpose::write_refusal, store, std::visit(encode, call.request));
}

void router_store_client::send(call_id id, purpose usedFor, const endpoint& store, std::string bytes)
{
    m_calls[id].usedFor = usedFor;
    http_call call;
    call.id = id;
    call.target = store;
    call.bytes = std::move(bytes);
    m_client.start(std::move(call));
}

void router_store_client::cancel(const router::cancel_store_read& cancelled)
{
    m_client.cancel(cancelled.read);
    m_calls.erase(cancelled.read);
}

void router_store_client::finish(call_id call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    const auto completed = std::move(found->second);
    m_calls.erase(found);
    const auto era = platform::decodeEra(completed.head.headers);
    if (const auto* unreadable = errorOf(era))
        return fail(call, completed.usedFor, unreadable->message);
    const auto status = completed.head.status;
    switch (completed.usedFor) {
    case purpose::read_upstreams:
        return m_post(router::upstreams_read { call, platform::decodeUpstreams(status, completed.body), valueOf(era) });
    case purpose::read_config:
        return m_post(router::config_read { call, platform::decodeConfigs(status, completed.body), valueOf(era) });
    case purpose::list_refusals:
        return m_post(router::refusals_listed { call, platform::decodeRefusals(status, completed.body, std::chrono::system_clock::now()), valueOf(era) });
    case purpose::write_refusal:
        return m_post(router::refusal_written { call, platform::decodeWriteStatus(status), "status " + std::to_string(status), valueOf(era) });
    }
}

void router_store_client::refuseLargeAnswer(call_id call, purpose usedFor)
{
    m_client.cancel(call);
    m_calls.erase(call);
    fail(call, usedFor, "the answer has more than " + std::to_string(maxAnswerBytes) + " bytes");
}

void router_store_client::fail(call_id call, purpose usedFor, const std::string& reason)
{
    switch (usedFor) {
    case purpose::read_upstreams:
        return m_post(router::upstreams_read { call, store_read_failed { reason }, std::nullopt });
    case purpose::read_config:
        return m_post(router::config_read { call, store_read_failed { reason }, std::nullopt });
    case purpose::list_refusals:
        return m_post(router::refusals_listed { call, store_read_failed { reason }, std::nullopt });
    case purpose::write_refusal:
        return m_post(router::refusal_written { call, store_write_outcome::failed, reason, std::nullopt });
    }
}

} // namespace kumquat
