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
    // When the sidecar was last heard of about this attempt.
    std::optional<instant> heardAt;
    bool started = false;
    // When the run started or last gave a chunk in order.
    std::optional<instant> lastProgress;
    // Whether it was offered as a request that has been running at a crash.
    bool suspect = false;
    // Tokens that earlier attempts had delivered when this one began.
    std::uint32_t prefixTokens = 0;
    answer_assembler chunks;
    std::optional<offer_finished> finished;
    // Set when the attempt has been withdrawn and the sidecar's word is awaited on whether it ran.
    std::optional<caller_error> settling;
};

// Everything that an entry knows of one request until its answer has ended.
struct request_record {
    std::string id;
    channel_id channel = 0;
    std::string organisation;
    // Whether the request counts as in flight against its organisation's limits.
    bool limited = false;
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
    // Attempts that ended otherwise than by a refusal.
    std::uint32_t failures = 0;
    std::uint32_t refusals = 0;
    // Attempts that were running when their upstream crashed.
    std::uint32_t crashes = 0;
    std::optional<live_attempt> attempt;
    std::set<std::string> tried;
    // Whether an upstream may have executed any of it.
    ran_state ran = ran_state::no;
    // The most recent failure, told to the caller when no upstream is left.
    std::optional<caller_error> lastError;
    // The soonest time at which a refusing upstream expects room.
    std::optional<std::chrono::milliseconds> retryAfter;
    bool begun = false;
    // Whether an engine can continue the answer behind deliveredText.
    bool resumable = false;
    // Largest number of output tokens that the caller wants; zero without a limit.
    std::uint32_t maximumTokens = 0;
    // Text that has been shown to the caller, or is kept to be shown at the end.
    std::string deliveredText;
    std::uint32_t deliveredTokens = 0;
    std::optional<instant> firstTokenAt;
    // Whether an idempotency key is held for the request; its whole answer is then kept for repeats.
    bool claimed = false;
    // Status and content type of the answer, once it has begun.
    int status = 200;
    std::string contentType;

    // Whether the answer is written to the caller as it arrives; otherwise it is kept and written at its end.
    bool isShownEarly() const { return format == answer_format::chat_stream || format == answer_format::completion_stream; }
    bool hasOutput() const { return deliveredTokens > 0 || !deliveredText.empty(); }
};

} // namespace kumquat
