#pragma once

#include "core/caller_error.h"
#include "core/caller_request.h"
#include "core/result.h"
#include "servers/sidecar/sidecar_effect.h"

#include <optional>
#include <string>

namespace kumquat {

// Reads the fields of a completion request that routing needs, or says what is wrong with the body.
result<completion_summary> parseCompletion(const std::string& path, const std::string& body);

// Returns the answer format of a completion path.
answer_format completionFormat(const std::string& path, bool streaming);

// Writes the body of a streamed engine call: the caller's body with priority and, for a resumed answer, its delivered prefix.
std::string formatEngineRequest(const start_run&);

// One server-sent event of an engine.
struct engine_chunk {
    std::string text;
    std::uint32_t tokens = 0;
    std::string finishReason;
    std::uint32_t promptTokens = 0;
};

// Reads the data of one server-sent event of an engine.
result<engine_chunk> parseEngineChunk(const std::string& data);

// Facts about an answer that every piece of it repeats.
struct answer_identity {
    std::string requestId;
    std::string model;
    answer_format format = answer_format::chat_json;
};

// The pieces of a streamed answer, each a whole server-sent event.
std::string formatStreamText(const answer_identity&, const std::string& text);
std::string formatStreamEnd(const answer_identity&, const std::string& finishReason, std::uint32_t promptTokens, std::uint32_t outputTokens);
std::string formatStreamError(const std::string& requestId, const caller_error&);
// A whole answer that is not streamed.
std::string formatWholeAnswer(const answer_identity&, const std::string& text, const std::string& finishReason, std::uint32_t promptTokens, std::uint32_t outputTokens);
std::string formatError(const std::string& requestId, const caller_error&);

} // namespace kumquat
