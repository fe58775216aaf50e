#include "drivers/http/claim_store.h"

#include "drivers/json/claim_codec.h"

namespace kumquat {

namespace {

    // Threads beyond one per shard. They read stored answers for repeated requests and remove old segments while each
    // shard has a call in progress.
    constexpr std::uint32_t extraThreads = 4;

    error notConfiguredError()
    {
        return { "no object API is configured" };
    }

    result<std::vector<numbered_segment>> decodeAll(const std::vector<stored_object>& objects)
    {
        std::vector<numbered_segment> segments;
        for (const auto& object : objects) {
            auto segment = decodeClaimSegment(object);
            if (const auto* failure = errorOf(segment))
                return *failure;
            segments.push_back(std::move(valueOf(segment)));
        }
        return segments;
    }

    result<std::optional<numbered_segment>> decodeIfPresent(const stored_object& object)
    {
        if (object.version == 0)
            return std::optional<numbered_segment> {};
        auto segment = decodeClaimSegment(object);
        if (const auto* failure = errorOf(segment))
            return *failure;
        return std::optional(std::move(valueOf(segment)));
    }

} // namespace

claim_store::claim_store(object_api_client::options options, std::uint32_t shards, std::function<void(claim_event)> onEvent)
    : m_isConfigured(!options.host.empty())
    , m_client(std::move(options))
    , m_onEvent(std::move(onEvent))
    , m_workers(shards + extraThreads)
{
}

void claim_store::execute(const claim_store_call& request)
{
    m_workers.submit([this, request] { std::visit([this](const auto& typedRequest) { call(typedRequest); }, request); });
}

void claim_store::call(const list_claim_segments& request)
{
    claim_segments_listed answer { .shard = request.shard, .segments = notConfiguredError() };
    if (m_isConfigured) {
        const auto objectList = m_client.list(claimShardPrefix(request.shard));
        if (const auto* failure = errorOf(objectList))
            answer.segments = *failure;
        else
            answer.segments = decodeAll(valueOf(objectList));
    }
    m_onEvent(std::move(answer));
}

void claim_store::call(const read_claim_segment& request)
{
    claim_segment_read answer { request.shard, request.number, notConfiguredError() };
    if (m_isConfigured) {
        const auto object = m_client.read(claimSegmentKey(request.shard, request.number));
        if (const auto* failure = errorOf(object))
            answer.segment = *failure;
        else
            answer.segment = decodeIfPresent(valueOf(object));
    }
    m_onEvent(std::move(answer));
}

void claim_store::call(const write_claim_segment& request)
{
    claim_segment_written answer { .shard = request.shard, .number = request.number };
    if (m_isConfigured) {
        const auto outcome = m_client.update(claimSegmentKey(request.shard, request.number), 0, encodeClaimSegment(request.contents));
        if (const auto* stored = std::get_if<stored_object>(&outcome)) {
            answer.outcome = claim_write_outcome::written;
            answer.version = stored->version;
        } else if (std::holds_alternative<version_conflict>(outcome)) {
            answer.outcome = claim_write_outcome::conflict;
        }
    }
    m_onEvent(answer);
}

void claim_store::call(const remove_claim_segment& request)
{
    if (m_isConfigured)
        m_client.remove(claimSegmentKey(request.shard, request.number), request.version);
}

} // namespace kumquat
