#pragma once

#include "core/caller_error.h"
#include "core/caller_request.h"
#include "core/result.h"
#include "servers/sidecar/sidecar_effect.h"

#include <optional>
#include <string>

namespace kumquat {

// Parses the fields of a completion request that routing needs. Errors name the invalid field or option.
result<completion_summary> parseCompletion(const std::string& path, const std::string& body);

// Returns the answer format for a completion path.
answer_format completionFormat(const std::string& path, bool streaming);

// Formats the body of a streaming engine request: the caller's body with the priority added. For a resumed answer it also
// appends the delivered text to the prompt and reduces the token limits by the delivered tokens.
std::string formatEngineRequest(const start_run&);

// Content of one server-sent event of an engine; absent fields are empty or 0.
struct engine_chunk {
    std::string text;
    std::uint32_t tokens = 0;
    std::string finishReason;
    std::uint32_t promptTokens = 0;
};

// Parses the data of one server-sent event of an engine. Returns an error if the data is invalid or reports an engine error.
result<engine_chunk> parseEngineChunk(const std::string& data);

// Fields that every chunk of an answer repeats.
struct answer_identity {
    std::string requestId;
    std::string model;
    answer_format format = answer_format::chat_json;
};

// Format the chunks of a streamed answer as complete server-sent events. formatStreamEnd() adds the final [DONE] event.
std::string formatStreamText(const answer_identity&, const std::string& text);
std::string formatStreamEnd(const answer_identity&, const std::string& finishReason, std::uint32_t promptTokens, std::uint32_t outputTokens);
std::string formatStreamError(const std::string& requestId, const caller_error&);

// Formats the JSON body of an answer that is not streamed.
std::string formatCompleteAnswer(const answer_identity&, const std::string& text, const std::string& finishReason, std::uint32_t promptTokens, std::uint32_t outputTokens);

// Formats the JSON body of an error answer.
std::string formatError(const std::string& requestId, const caller_error&);

} // namespace kumquat
