#include "drivers/json/dump_codec.h"

#include "core/overloaded.h"

#include <nlohmann/json.hpp>

namespace kumquat {

namespace {

    using nlohmann::json;

    constexpr int dumpVersion = 1;

    std::int64_t millisecondsBetween(instant from, instant to)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
    }

    json dumpRequest(const request_record& record, instant now)
    {
        json to = { { "request", record.id }, { "organisation", record.organisation }, { "class", record.requestClass.name }, { "service", record.service }, { "age_ms", millisecondsBetween(record.arrivedAt, now) }, { "attempts", record.attemptCount }, { "ran", toString(record.ran) }, { "delivered_tokens", record.deliveredTokens } };
        if (record.attempt)
            to["upstream"] = record.attempt->upstreamId;
        return to;
    }

    json dumpTiers(const report& message)
    {
        json tiers = json::array();
        for (const auto& load : message.tiers)
            tiers.push_back({ { "rank", load.rank }, { "running", load.running }, { "queued", load.queued }, { "expected_tokens", load.expectedTokens } });
        return tiers;
    }

    json dumpUpstream(const upstream_state& upstream, instant now)
    {
        json to = { { "id", upstream.id }, { "service", upstream.service }, { "data_centre", upstream.dataCentre }, { "listed_leaving", upstream.listedLeaving }, { "own_in_flight", upstream.ownInFlight } };
        if (!upstream.lastReport)
            return to;
        const auto& last = *upstream.lastReport;
        to["report"] = { { "age_ms", millisecondsBetween(upstream.reportedAt, now) }, { "incarnation", std::to_string(last.from.incarnation) }, { "generation", last.generation }, { "leaving", last.leaving }, { "healthy", last.healthy }, { "slots", last.slots }, { "free_slots", last.freeSlots }, { "tiers", dumpTiers(last) } };
        return to;
    }

    const char* attemptStateName(const attempt_state& state)
    {
        return std::visit(overloaded {
                              [](const attempt_queued&) { return "queued"; },
                              [](const attempt_running&) { return "running"; },
                              [](const attempt_finished&) { return "finished"; },
                              [](const attempt_failed&) { return "failed"; },
                              [](const attempt_refused&) { return "refused"; },
                              [](const attempt_withdrawn&) { return "withdrawn"; },
                          },
            state);
    }

    json dumpAttempt(const attempt_record& record, instant now)
    {
        return { { "request", record.request.attempt.requestId }, { "attempt", record.request.attempt.attempt }, { "state", attemptStateName(record.state) }, { "class", record.request.className }, { "organisation", record.request.organisation }, { "age_ms", millisecondsBetween(record.arrivedAt, now) }, { "tokens", record.producedTokens } };
    }

    std::string submissionOf(const document_manager& manager)
    {
        return manager.documentInForce() ? manager.documentInForce()->submissionId : "";
    }

} // namespace

std::string dumpEntry(const entry_reducer& reducer, instant now)
{
    json root = { { "version", dumpVersion }, { "role", "entry" }, { "id", reducer.options().id }, { "data_centre", reducer.options().dataCentre }, { "incarnation", std::to_string(reducer.options().incarnation) }, { "generation", reducer.generation() }, { "document_hash", std::to_string(reducer.documentManager().version().hash) }, { "submission_id", submissionOf(reducer.documentManager()) }, { "watches_store", reducer.documentManager().watching() }, { "draining", reducer.draining() }, { "requests", json::array() }, { "upstreams", json::array() } };
    root["claims"] = { { "keys", reducer.claims().keyCount() }, { "unstored_answers", reducer.claims().unstoredAnswerCount() } };
    for (const auto& [id, record] : reducer.requests())
        root["requests"].push_back(dumpRequest(record, now));
    for (const auto& [id, upstream] : reducer.upstreams().all())
        root["upstreams"].push_back(dumpUpstream(upstream, now));
    return root.dump(2, ' ', false, json::error_handler_t::replace);
}

std::string dumpSidecar(const sidecar_reducer& reducer, instant now)
{
    const auto& options = reducer.options();
    json root = { { "version", dumpVersion }, { "role", "sidecar" }, { "id", options.id }, { "data_centre", options.dataCentre }, { "service", options.service }, { "incarnation", std::to_string(options.incarnation) }, { "generation", reducer.generation() }, { "document_hash", std::to_string(reducer.documentManager().version().hash) }, { "submission_id", submissionOf(reducer.documentManager()) }, { "leaving", reducer.draining() }, { "healthy", reducer.healthy() }, { "slots", options.slots }, { "running", reducer.runningCount() }, { "queued", reducer.queuedCount() }, { "attempts", json::array() } };
    for (const auto& [id, record] : reducer.attempts())
        root["attempts"].push_back(dumpAttempt(record, now));
    return root.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace kumquat
