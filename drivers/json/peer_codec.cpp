#include "drivers/json/peer_codec.h"

#include "drivers/cbor/cbor_structure.h"

#include <array>
#include <nlohmann/json.hpp>

namespace nlohmann {

template <>
struct adl_serializer<std::chrono::milliseconds> {
    static void to_json(json& to, const std::chrono::milliseconds& from) { to = from.count(); }
    static void from_json(const json& from, std::chrono::milliseconds& to) { to = std::chrono::milliseconds(from.get<std::int64_t>()); }
};

// Reports make up most of the control traffic, so the load of a tier is encoded as an array without field names. A newer
// version appends elements at the end.
template <>
struct adl_serializer<kumquat::tier_load> {
    static void to_json(json& to, const kumquat::tier_load& from) { to = json::array({ from.rank, from.running, from.queued, from.expectedTokens }); }
    static void from_json(const json& from, kumquat::tier_load& to)
    {
        from.at(0).get_to(to.rank);
        from.at(1).get_to(to.running);
        from.at(2).get_to(to.queued);
        from.at(3).get_to(to.expectedTokens);
    }
};

} // namespace nlohmann

namespace kumquat {

// The macros define to_json() and from_json() for each type; the member names are the field names on the wire.
// A field that a newer version adds is absent from messages of an older version and then has its default value.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(peer_identity, id, address, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(attempt_id, requestId, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(upstream_call, service, kind, method, path, contentType, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(offer, from, attempt, sidecarIncarnation, tierRank, className, organisation, timeLeft, expectedTokens, fingerprint, repeatable, suspect, streaming, nextChunk, deliveredPrefix, deliveredTokens, job, waited)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(withdraw, from, attempt, sidecarIncarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(acknowledge, attempt, sidecarIncarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(subscribe, from, generation, documentHash, reportInterval)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(answer_header, attempt, sidecarId, sidecarIncarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(offer_refused, header, reason, message, retryAfter)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(offer_queued, header, position)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(offer_started, header)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(output_chunk, header, sequence, tokens, text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(offer_finished, header, chunkCount, status, contentType, finishReason, promptTokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(offer_failed, header, started, crashed, reason, message)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(offer_withdrawn, header, started)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(wrong_incarnation, header, namedIncarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(report, from, service, dataCentre, generation, leaving, healthy, slots, freeSlots, tokensPerSecond, tiers, suspects, refusedFingerprints, documentHash)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(stored_answer, whole, status, contentType, text, finishReason, promptTokens, outputTokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(claim_query, from, requestId)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(claim_status, requestId, state, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(document_version, generation, hash)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(document_step, from, to, patch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(document_request, from, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(document_difference, from, version, steps)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(full_document, from, version, text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(suspect_fact, fingerprint, refused, timeLeft)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(suspect_notice, from, facts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(lease_demand, organisation, requestsPerSecond, inFlight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(lease_request, from, demands)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(lease_share, organisation, requestsPerSecond, burst, concurrency)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(lease_grant, from, shares, validFor)

namespace {

    using nlohmann::json;

    // The index of a type in peer_message is its number on the wire, so new types are added at the end.
    template <std::size_t Index = 0>
    result<peer_message> decodeBody(std::size_t type, const json& body)
    {
        if constexpr (Index == std::variant_size_v<peer_message>) {
            return error { "peer message has the unknown type " + std::to_string(type) };
        } else {
            if (type == Index)
                return peer_message(body.get<std::variant_alternative_t<Index, peer_message>>());
            return decodeBody<Index + 1>(type, body);
        }
    }

    // Removes fields that equal their defaults, to shorten the message. The receiver restores them.
    void removeDefaults(json& value, const json& defaults)
    {
        for (auto field = value.begin(); field != value.end();) {
            const auto defaultValue = defaults.find(field.key());
            if (defaultValue != defaults.end() && *field == *defaultValue) {
                field = value.erase(field);
                continue;
            }
            if (defaultValue != defaults.end() && field->is_object())
                removeDefaults(*field, *defaultValue);
            ++field;
        }
    }

    template <typename Message>
    json encodeBody(const Message& message)
    {
        static const json defaults = Message {};
        json body = message;
        removeDefaults(body, defaults);
        return body;
    }

} // namespace

std::string encodePeerMessage(const peer_message& message)
{
    json body;
    std::visit([&](const auto& typedMessage) { body = encodeBody(typedMessage); }, message);
    std::string bytes;
    json::to_cbor(json::array({ message.index(), std::move(body) }), bytes);
    return bytes;
}

result<peer_message> decodePeerMessage(const std::string& bytes)
{
    if (!isShallowCbor(bytes))
        return error { "peer message of " + std::to_string(bytes.size()) + " bytes is not a CBOR value, or is nested too deeply" };
    try {
        const auto root = json::from_cbor(bytes);
        if (!root.is_array() || root.size() != 2 || !root[0].is_number_unsigned() || !root[1].is_object())
            return error { "peer message is not an array of a type and a body" };
        return decodeBody(root[0].get<std::size_t>(), root[1]);
    } catch (const json::exception& failure) {
        return error { std::string("peer message cannot be decoded: ") + failure.what() };
    }
}

} // namespace kumquat
