// Prints the encoded size in bytes of the messages between processes, with fields of typical length.

#include "drivers/json/peer_codec.h"

#include <iostream>
#include <string>

namespace {

using namespace kumquat;

constexpr std::uint64_t incarnation = 0x123456789abcdef0;
constexpr std::size_t bodyBytes = 2000;
// Session, counter and authentication code that the message authentication adds to every message.
constexpr std::size_t authenticationBytes = 48;

void printSize(const std::string& name, const peer_message& message)
{
    std::cout << name << " " << encodePeerMessage(message).size() + authenticationBytes << "\n";
}

} // namespace

int main()
{
    const peer_identity entry { "entry-east-legon-3", "tcp://10.20.30.40:18070", incarnation };
    const peer_identity sidecar { "kasa-east-legon-17", "tcp://10.20.30.41:18072", incarnation };
    const attempt_id attempt { "entry-east-legon-3-123456789abcdef0-123456", 1 };
    const answer_header header { attempt, sidecar.id, incarnation };
    offer request { .from = entry, .attempt = attempt, .sidecarIncarnation = incarnation, .tierRank = 1, .className = "handover-summary", .organisation = "ridge-guards", .timeLeft = std::chrono::minutes { 10 }, .expectedTokens = 220, .fingerprint = incarnation, .job = { .service = "kasa", .path = "/v1/chat/completions", .contentType = "application/json", .body = std::string(bodyBytes, 'x') } };
    printSize("offer_with_2000_byte_body", request);
    printSize("offer_queued", offer_queued { header, 3 });
    printSize("offer_started", offer_started { header });
    printSize("output_chunk_of_one_token", output_chunk { header, 100, 1, "garden " });
    printSize("offer_finished", offer_finished { .header = header, .chunkCount = 220, .finishReason = "stop", .promptTokens = 500 });
    printSize("acknowledge", acknowledge { attempt, incarnation });
    printSize("subscribe", subscribe { entry, 1700 });
    report tierReport { .from = sidecar, .service = "kasa", .dataCentre = "east-legon", .generation = 1700, .slots = 32, .freeSlots = 7, .tokensPerSecond = 38.25 };
    for (std::uint32_t rank = 0; rank < 4; ++rank)
        tierReport.tiers.push_back({ rank, 6, 4, 4000 });
    printSize("report_of_4_tiers", tierReport);
}
