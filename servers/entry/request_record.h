#pragma once

#include "core/caller_error.h"
#include "core/caller_request.h"
#include "core/clock.h"
#include "core/document.h"
#include "core/peer_message.h"
#include "servers/entry/answer_assembler.h"
#include "servers/entry/entry_event.h"

#include <optional>
#include <set>
#include <string>

namespace kumquat {

// The attempt of a request that is in progress.
struct live_attempt {
    std::uint32_t number = 0;
    std::string upstreamId;
    std::string address;
    std::uint64_t sidecarIncarnation = 0;
    // Copies of the offer sent so far.
    std::uint32_t copies = 0;
    // Copies sent since the sidecar was last heard of about this attempt.
    std::uint32_t unanswered = 0;
    bool started = false;
    // When the run started or last gave a chunk in order.
    std::optional<instant> lastProgress;
    answer_assembler chunks;
    std::optional<offer_finished> finished;
};

// Everything that an entry knows of one request until its answer has ended.
struct request_record {
    std::string id;
    channel_id channel = 0;
    std::string organisation;
    request_class requestClass;
    std::string service;
    service_kind kind = service_kind::engine;
    std::string model;
    answer_format format = answer_format::raw;
    work job;
    std::uint64_t fingerprint = 0;
    std::vector<std::uint64_t> prefixHashes;
    std::uint32_t expectedTokens = 0;
    instant arrivedAt;
    instant deadline;
    std::uint32_t attemptCount = 0;
    std::optional<live_attempt> attempt;
    std::set<std::string> tried;
    // Whether an upstream may have executed any of it.
    ran_state ran = ran_state::no;
    // The most recent refusal, told to the caller when no upstream is left.
    std::optional<caller_error> lastError;
    bool begun = false;
    std::string deliveredText;
    std::uint32_t deliveredTokens = 0;
    std::optional<instant> firstTokenAt;
};

} // namespace kumquat
