#pragma once

#include "servers/entry/entry_reducer.h"
#include "tests/support/effects.h"
#include "tests/support/sample_document.h"

namespace kumquat_test {

using namespace kumquat;
using namespace std::chrono_literals;

// An entry in virtual time, with the sample document, upstreams kasa-1, kasa-2, ... of the engine service "kasa" and one
// upstream of the plain service "dwumadie". All upstreams have reported.
struct entry_fixture {
    entry_reducer reducer;
    instant now { 1h };
    channel_id nextChannel = 1;

    explicit entry_fixture(int upstreams = 2, kumquat::entry_options options = {})
        : reducer(withIdentity(std::move(options)))
    {
        step(entry_document_received { sampleDocument() });
        std::vector<instance> listed;
        for (int index = 1; index <= upstreams; ++index) {
            const auto number = std::to_string(index);
            listed.push_back({ .id = "kasa-" + number, .role = "sidecar", .service = "kasa", .address = "tcp://kasa-" + number });
        }
        listed.push_back({ .id = "dwumadie-1", .role = "sidecar", .service = "dwumadie", .address = "tcp://dwumadie-1" });
        step(instances_listed { listed });
        for (const auto& item : listed)
            reportFrom(item.id, item.service);
    }

    static kumquat::entry_options withIdentity(kumquat::entry_options options)
    {
        options.id = "entry-a";
        options.address = "tcp://e";
        options.incarnation = 3;
        return options;
    }

    void reportFrom(const std::string& id, const std::string& service, bool leaving = false)
    {
        report message;
        message.from = { id, "tcp://" + id, 70 };
        message.service = service;
        message.leaving = leaving;
        message.slots = message.freeSlots = 4;
        receive(message);
    }

    entry_effects step(const entry_event& event)
    {
        entry_effects effects;
        reducer.step(event, now, effects);
        return effects;
    }

    void reportLoad(const std::string& id, std::vector<tier_load> tiers)
    {
        report message;
        message.from = { id, "tcp://" + id, 70 };
        message.service = "kasa";
        message.slots = 4;
        message.tiers = std::move(tiers);
        receive(message);
    }

    // Advances the clock by the given time, passes a timer event at every deadline of the reducer, and returns all effects.
    entry_effects advance(duration span)
    {
        entry_effects effects;
        const auto end = now + span;
        while (reducer.nextDeadline() && *reducer.nextDeadline() <= end) {
            now = std::max(now, *reducer.nextDeadline());
            const auto more = step(entry_timer_due {});
            effects.insert(effects.end(), more.begin(), more.end());
        }
        now = end;
        return effects;
    }

    entry_effects receive(peer_message message) { return step(entry_peer_received { std::move(message) }); }

    entry_effects sendRequest(const std::string& path = "/v1/chat/completions", const std::string& body = "{}") { return step(caller_arrived { nextChannel++, request(path, body) }); }

    entry_effects sendRequestWithKey(const std::string& path, const std::string& key)
    {
        auto keyedRequest = request(path);
        keyedRequest.idempotencyKey = key;
        return step(caller_arrived { nextChannel++, keyedRequest });
    }

    static caller_request request(const std::string& path, const std::string& body = "{}")
    {
        caller_request request;
        request.method = "POST";
        request.path = path;
        request.keyDigest = "key-osu";
        request.body = body;
        request.completion = completion_summary { .model = "kasa-8b", .streaming = true };
        request.format = path.starts_with("/v1/") ? answer_format::chat_stream : answer_format::raw;
        return request;
    }
};

inline std::vector<offer> offersIn(const entry_effects& effects)
{
    return sent<offer, send_to_sidecar>(effects);
}

// Returns the header with which the sidecar answers the first offer among the effects.
inline answer_header headerFor(const entry_effects& effects)
{
    const auto send = only<send_to_sidecar>(effects).at(0);
    const auto& request = std::get<offer>(send.message);
    return { request.attempt, send.address.substr(6), request.sidecarIncarnation };
}

inline std::string textOf(const entry_effects& effects)
{
    std::string text;
    for (const auto& fragment : only<append_answer>(effects))
        text += fragment.text;
    return text;
}

inline std::uint64_t fingerprintOf(const entry_effects& effects)
{
    return offersIn(effects).at(0).fingerprint;
}

} // namespace kumquat_test
