#include "bench/harness/cost_workload.h"

namespace kumquat_bench {

using namespace kumquat;
using namespace std::chrono_literals;

namespace {

    constexpr std::uint32_t slots = 32;
    constexpr std::size_t inFlightRequests = 64;
    constexpr std::uint32_t chunksPerAnswer = 4;
    constexpr std::uint32_t tokensPerChunk = 16;
    // The queue length is the same for every workload size, so that only the number of organisations varies.
    constexpr std::uint32_t queuedAttempts = 6200;
    constexpr std::chrono::milliseconds requestInterval { 1 };
    constexpr std::chrono::milliseconds periodicEventInterval { 1000 };
    const peer_identity entryIdentity { "entry", "tcp://entry", 1 };

    std::string organisationName(std::uint64_t index)
    {
        return "organisation-" + std::to_string(index);
    }

    document_ptr makeDocument(std::uint32_t organisations)
    {
        document contents;
        contents.generation = 1;
        contents.tiers = { { "critical", 0 }, { "interactive", 1 }, { "standard", 2 }, { "bulk", 3 } };
        contents.classes = {
            { .name = "interactive", .tier = "interactive", .tierRank = 1, .targets = { .firstToken = 530ms, .betweenTokens = 26ms }, .expectedTokens = 64 },
            { .name = "bulk", .tier = "bulk", .tierRank = 3, .expectedTokens = 64 },
        };
        contents.services = { { .name = "kasa", .models = { "kasa-8b" } } };
        for (std::uint32_t index = 0; index < organisations; ++index)
            contents.organisations.push_back({ .name = organisationName(index), .keyDigests = { "key-" + std::to_string(index) } });
        return std::make_shared<const document_index>(std::move(contents));
    }

    std::string upstreamName(std::uint32_t index)
    {
        return "kasa-" + std::to_string(index);
    }

    report makeReport(std::uint32_t upstream)
    {
        report message;
        message.from = { upstreamName(upstream), "tcp://" + upstreamName(upstream), 7 };
        message.service = "kasa";
        message.dataCentre = "east-legon";
        message.slots = slots;
        message.freeSlots = upstream % slots;
        message.tokensPerSecond = 40;
        message.tiers = { { .rank = 1, .running = slots - upstream % slots, .queued = 0, .expectedTokens = 640 }, { .rank = 3, .running = 0, .queued = upstream % 5, .expectedTokens = 640 } };
        return message;
    }

} // namespace

entry_workload::entry_workload(workload_size size)
    : m_size(size)
    , m_reducer({ .id = "entry", .address = "tcp://entry", .incarnation = 1, .dataCentre = "east-legon" })
    , m_now(1h)
{
    step(entry_document_received { makeDocument(size.organisations) });
    std::vector<instance> instances;
    for (std::uint32_t index = 0; index < size.upstreams; ++index)
        instances.push_back({ .id = upstreamName(index), .role = "sidecar", .service = "kasa", .dataCentre = "east-legon", .address = "tcp://" + upstreamName(index) });
    step(instances_listed { instances });
    m_nextPeriodicEvents = m_now;
    handlePeriodicEvents();
    for (std::size_t index = 0; index < inFlightRequests; ++index)
        startRequest();
}

entry_effects entry_workload::step(const entry_event& event)
{
    entry_effects effects;
    m_reducer.step(event, m_now, effects);
    return effects;
}

void entry_workload::handlePeriodicEvents()
{
    if (m_now < m_nextPeriodicEvents)
        return;
    for (std::uint32_t index = 0; index < m_size.upstreams; ++index)
        applyReport();
    step(entry_timer_due {});
    m_nextPeriodicEvents = m_now + periodicEventInterval;
}

void entry_workload::applyReport()
{
    step(entry_peer_received { makeReport(m_nextReportIndex++ % m_size.upstreams) });
}

void entry_workload::startRequest()
{
    caller_request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.contentType = "application/json";
    request.keyDigest = "key-" + std::to_string(m_nextChannel % m_size.organisations);
    request.className = "interactive";
    request.body = "request " + std::to_string(m_nextChannel);
    request.format = answer_format::chat_stream;
    request.completion = completion_summary { .model = "kasa-8b", .streaming = true, .prefixHashes = { m_nextChannel % m_size.organisations, m_nextChannel }, .promptBytes = 2400 };
    for (const auto& effect : step(caller_arrived { m_nextChannel++, std::move(request) })) {
        const auto* sendEffect = std::get_if<send_to_sidecar>(&effect);
        const auto* message = sendEffect ? std::get_if<offer>(&sendEffect->message) : nullptr;
        if (!message)
            continue;
        m_inFlight.push_back(*message);
        m_inFlight.back().job.contentType = sendEffect->address.substr(std::string_view("tcp://").size());
    }
}

void entry_workload::answerOldest()
{
    if (m_inFlight.empty())
        return;
    const auto oldestOffer = std::move(m_inFlight.front());
    m_inFlight.pop_front();
    const answer_header header { oldestOffer.attempt, oldestOffer.job.contentType, oldestOffer.sidecarIncarnation };
    step(entry_peer_received { offer_started { header } });
    for (std::uint32_t sequence = 0; sequence < chunksPerAnswer; ++sequence)
        step(entry_peer_received { output_chunk { header, sequence, tokensPerChunk, "text" } });
    step(entry_peer_received { offer_finished { .header = header, .chunkCount = chunksPerAnswer, .finishReason = "stop" } });
}

void entry_workload::serveRequest()
{
    m_now += requestInterval;
    startRequest();
    answerOldest();
}

sidecar_workload::sidecar_workload(workload_size size)
    : m_size(size)
    , m_reducer({ .id = "kasa-1", .address = "tcp://kasa-1", .incarnation = 7, .service = "kasa", .slots = slots, .queueLimit = 2 * queuedAttempts })
    , m_now(1h)
{
    step(document_received { makeDocument(size.organisations) });
    step(upstream_probed { .healthy = true });
    m_nextPeriodicEvents = m_now;
    handlePeriodicEvents();
    for (std::uint32_t index = 0; index < queuedAttempts; ++index)
        offerAttempt();
}

void sidecar_workload::step(const sidecar_event& event)
{
    sidecar_effects effects;
    m_reducer.step(event, m_now, effects);
    for (const auto& effect : effects) {
        if (const auto* startEffect = std::get_if<start_run>(&effect))
            m_runs.push_back(startEffect->run);
    }
}

void sidecar_workload::handlePeriodicEvents()
{
    if (m_now < m_nextPeriodicEvents)
        return;
    step(peer_received { subscribe { entryIdentity, 1 } });
    step(timer_due {});
    m_nextPeriodicEvents = m_now + periodicEventInterval;
}

void sidecar_workload::offerAttempt()
{
    offer message {
        .from = entryIdentity,
        .attempt = { "request-" + std::to_string(m_nextRequest), 1 },
        .sidecarIncarnation = 7,
        .tierRank = 3,
        .className = "bulk",
        .organisation = organisationName(m_nextRequest % m_size.organisations),
        .timeLeft = 600s,
        .expectedTokens = 64,
        .fingerprint = m_nextRequest,
        .job = { .service = "kasa", .path = "/v1/chat/completions", .body = "body" },
    };
    m_nextRequest++;
    step(peer_received { std::move(message) });
}

void sidecar_workload::finishOldest()
{
    if (m_runs.empty())
        return;
    const auto run = m_runs.front();
    m_runs.pop_front();
    step(run_head { run, 200, "text/event-stream" });
    for (std::uint32_t sequence = 0; sequence < chunksPerAnswer; ++sequence)
        step(run_output { run, "text", tokensPerChunk });
    step(run_finished { run, "stop", 600 });
}

void sidecar_workload::serveRequest()
{
    m_now += requestInterval;
    offerAttempt();
    finishOldest();
}

} // namespace kumquat_bench
