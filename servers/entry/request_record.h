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
    // Copies sent since the sidecar last sent a message about this attempt.
    std::uint32_t unansweredCopies = 0;
    // When the sidecar last sent a message about this attempt.
    std::optional<instant> lastReceivedAt;
    bool started = false;
    // When the run started, or when its most recent chunk arrived in order.
    std::optional<instant> lastProgress;
    // Whether it was offered as a suspect: a request that was running when an upstream crashed.
    bool suspect = false;
    // Output tokens that earlier attempts had delivered when this one started.
    std::uint32_t prefixTokens = 0;
    answer_assembler chunks;
    std::optional<offer_finished> finished;
    // Set while a withdrawn attempt waits for the sidecar's answer whether it ran: the error with which the attempt then ends.
    std::optional<caller_error> errorAfterWithdrawal;
};

// State of one request from its arrival to the end of its answer.
struct request_record {
    std::string id;
    channel_id channel = 0;
    std::string organisation;
    // Whether the request counts as in flight against its organisation's limits.
    bool countsAgainstLimits = false;
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
    // Attempts that failed after they ran or may have run.
    std::uint32_t failures = 0;
    // Attempts that ended without having run.
    std::uint32_t refusals = 0;
    // Attempts that were running when their upstream crashed.
    std::uint32_t crashes = 0;
    std::optional<live_attempt> attempt;
    // Ids of upstreams that have been offered the request. They are not selected again, except after a failure when all usable
    // upstreams have been tried.
    std::set<std::string> triedUpstreams;
    // Whether an upstream has executed any part of the request: no, yes, or unknown if it may have.
    ran_state ran = ran_state::no;
    // The most recent failure, which the caller receives when no untried upstream is left.
    std::optional<caller_error> lastError;
    // Shortest time after which a refusing upstream expects capacity.
    std::optional<std::chrono::milliseconds> retryAfter;
    // Whether the status of the answer has been sent to the caller.
    bool answerStarted = false;
    // Whether a new attempt can continue the answer after deliveredText.
    bool resumable = false;
    // The caller's limit on output tokens; zero without a limit.
    std::uint32_t maximumTokens = 0;
    // Text that has been sent to the caller, or that is buffered until the answer is complete.
    std::string deliveredText;
    std::uint32_t deliveredTokens = 0;
    std::optional<instant> firstTokenAt;
    // Whether the request holds the claim of its idempotency key. Its complete answer is then stored for later requests with
    // the same key.
    bool claimed = false;
    // Status and content type of the answer, set when it is complete.
    int status = 200;
    std::string contentType;

    // Whether text is sent to the caller as it arrives; otherwise it is buffered and sent when the answer is complete.
    bool isStreamed() const { return format == answer_format::chat_stream || format == answer_format::completion_stream; }
    bool hasOutput() const { return deliveredTokens > 0 || !deliveredText.empty(); }
};

} // namespace kumquat
