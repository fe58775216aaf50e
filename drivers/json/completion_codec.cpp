#include "drivers/json/completion_codec.h"

#include "core/hash.h"
#include "drivers/json/error_body.h"

#include <nlohmann/json.hpp>

namespace kumquat {

namespace {

    using nlohmann::json;

    constexpr std::string_view chatPath = "/v1/chat/completions";
    constexpr std::size_t prefixBlockBytes = 512;
    constexpr std::size_t maxPrefixBlocks = 32;

    std::string dump(const json& value)
    {
        return value.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    bool isChat(answer_format format)
    {
        return format == answer_format::chat_stream || format == answer_format::chat_json;
    }

    // Returns one hash for each complete block at the beginning of the prompt. Each hash includes the preceding blocks, so
    // prompts with a common prefix have the same first hashes.
    std::vector<std::uint64_t> hashPrefixes(const std::string& prompt)
    {
        std::vector<std::uint64_t> hashes;
        std::uint64_t hash = 0;
        for (std::size_t start = 0; start + prefixBlockBytes <= prompt.size() && hashes.size() < maxPrefixBlocks; start += prefixBlockBytes) {
            hash = hashBytes(std::string_view(prompt).substr(start, prefixBlockBytes), hash);
            hashes.push_back(hash);
        }
        return hashes;
    }

    // Returns an error for an option that changes the answer into something other than one text. Such options are refused,
    // because ignoring them silently would give the caller another answer than requested.
    std::optional<error> findUnsupported(const json& root)
    {
        for (const char* name : { "tools", "tool_choice", "functions", "logprobs", "audio", "modalities" }) {
            if (root.contains(name) && !root.at(name).is_null() && root.at(name) != json(false))
                return error { "option '" + std::string(name) + "' is not supported" };
        }
        if (root.contains("n") && root.at("n") != json(1))
            return error { "option 'n' supports the value 1 only, not " + dump(root.at("n")) };
        return std::nullopt;
    }

    // Returns whether an engine can continue a partly delivered answer: the delivered text can be appended to a conversation
    // or to a prompt that is one string, unless an option changes where the answer begins.
    bool isResumable(const std::string& path, const json& root)
    {
        if (path != chatPath && !root.at("prompt").is_string())
            return false;
        for (const char* name : { "echo", "suffix", "best_of", "response_format" }) {
            if (root.contains(name) && !root.at(name).is_null() && root.at(name) != json(false))
                return false;
        }
        return true;
    }

    result<completion_summary> readSummary(const std::string& path, const json& root)
    {
        if (!root.is_object())
            return error { "the body is not a JSON object" };
        if (!root.contains("model") || !root.at("model").is_string())
            return error { "field 'model' is missing or no string" };
        const char* promptField = path == chatPath ? "messages" : "prompt";
        if (!root.contains(promptField))
            return error { "field '" + std::string(promptField) + "' is missing" };
        if (path == chatPath && (!root.at("messages").is_array() || root.at("messages").empty()))
            return error { "field 'messages' is no array with at least one message" };
        if (auto failure = findUnsupported(root))
            return *failure;
        if (root.contains("stream") && !root.at("stream").is_boolean())
            return error { "field 'stream' is neither true nor false: " + dump(root.at("stream")) };
        completion_summary summary;
        summary.model = root.at("model");
        summary.streaming = root.value("stream", false);
        for (const char* name : { "max_tokens", "max_completion_tokens" }) {
            if (!root.contains(name) || root.at(name).is_null())
                continue;
            if (!root.at(name).is_number_unsigned() || root.at(name).get<std::uint64_t>() > 10'000'000)
                return error { "field '" + std::string(name) + "' is not a number from 0 to 10000000: " + dump(root.at(name)) };
            summary.maximumTokens = root.at(name);
        }
        const auto prompt = dump(root.at(promptField));
        summary.promptBytes = static_cast<std::uint32_t>(prompt.size());
        summary.prefixHashes = hashPrefixes(prompt);
        summary.resumable = isResumable(path, root);
        return summary;
    }

    json makeEnvelope(const answer_identity& identity, const char* chatObject, const char* textObject)
    {
        return { { "id", identity.requestId }, { "object", isChat(identity.format) ? chatObject : textObject }, { "model", identity.model } };
    }

    json makeUsage(std::uint32_t promptTokens, std::uint32_t outputTokens)
    {
        return { { "prompt_tokens", promptTokens }, { "completion_tokens", outputTokens }, { "total_tokens", promptTokens + outputTokens } };
    }

    std::string serverSentEvent(const std::string& data)
    {
        return "data: " + data + "\n\n";
    }

} // namespace

result<completion_summary> parseCompletion(const std::string& path, const std::string& body)
{
    try {
        return readSummary(path, json::parse(body));
    } catch (const json::exception& failure) {
        return error { std::string("the body cannot be parsed: ") + failure.what() };
    }
}

answer_format completionFormat(const std::string& path, bool streaming)
{
    if (path == chatPath)
        return streaming ? answer_format::chat_stream : answer_format::chat_json;
    return streaming ? answer_format::completion_stream : answer_format::completion_json;
}

std::string formatEngineRequest(const start_run& run)
{
    json root = json::parse(run.job.body, nullptr, false);
    if (root.is_discarded() || !root.is_object())
        return run.job.body;
    root["stream"] = true;
    root["stream_options"] = { { "include_usage", true } };
    root["priority"] = run.priority;
    if (run.resumePrefix.empty())
        return dump(root);
    if (root.contains("messages")) {
        root["messages"].push_back({ { "role", "assistant" }, { "content", run.resumePrefix } });
        root["continue_final_message"] = true;
        root["add_generation_prompt"] = false;
    } else if (root.contains("prompt") && root["prompt"].is_string()) {
        root["prompt"] = root["prompt"].get<std::string>() + run.resumePrefix;
    }
    for (const char* name : { "max_tokens", "max_completion_tokens" }) {
        if (!root.contains(name) || !root[name].is_number_unsigned())
            continue;
        const auto limit = root[name].get<std::uint32_t>();
        root[name] = limit > run.resumeTokens ? limit - run.resumeTokens : 1;
    }
    return dump(root);
}

result<engine_chunk> parseEngineChunk(const std::string& data)
{
    try {
        const auto root = json::parse(data);
        engine_chunk chunk;
        if (root.contains("error"))
            return error { "the engine reported an error: " + dump(root.at("error")) };
        if (root.contains("usage") && root.at("usage").is_object())
            chunk.promptTokens = root.at("usage").value("prompt_tokens", 0U);
        const auto choices = root.value("choices", json::array());
        if (choices.empty())
            return chunk;
        const auto& choice = choices.at(0);
        const auto& delta = choice.contains("delta") ? choice.at("delta") : choice;
        const char* textField = choice.contains("delta") ? "content" : "text";
        if (delta.contains(textField) && delta.at(textField).is_string())
            chunk.text = delta.at(textField);
        if (choice.contains("finish_reason") && choice.at("finish_reason").is_string())
            chunk.finishReason = choice.at("finish_reason");
        // An engine that puts several tokens into one event states their number in token_count.
        chunk.tokens = chunk.text.empty() ? 0 : choice.value("token_count", 1U);
        return chunk;
    } catch (const json::exception& failure) {
        return error { std::string("the engine sent an invalid event: ") + failure.what() };
    }
}

std::string formatStreamText(const answer_identity& identity, const std::string& text)
{
    auto root = makeEnvelope(identity, "chat.completion.chunk", "text_completion");
    if (isChat(identity.format))
        root["choices"] = json::array({ { { "index", 0 }, { "delta", { { "content", text } } }, { "finish_reason", nullptr } } });
    else
        root["choices"] = json::array({ { { "index", 0 }, { "text", text }, { "finish_reason", nullptr } } });
    return serverSentEvent(dump(root));
}

std::string formatStreamEnd(const answer_identity& identity, const std::string& finishReason, std::uint32_t promptTokens, std::uint32_t outputTokens)
{
    auto root = makeEnvelope(identity, "chat.completion.chunk", "text_completion");
    if (isChat(identity.format))
        root["choices"] = json::array({ { { "index", 0 }, { "delta", json::object() }, { "finish_reason", finishReason } } });
    else
        root["choices"] = json::array({ { { "index", 0 }, { "text", "" }, { "finish_reason", finishReason } } });
    root["usage"] = makeUsage(promptTokens, outputTokens);
    return serverSentEvent(dump(root)) + "data: [DONE]\n\n";
}

std::string formatStreamError(const std::string& requestId, const caller_error& failure)
{
    return serverSentEvent(formatErrorBody(requestId, failure));
}

std::string formatCompleteAnswer(const answer_identity& identity, const std::string& text, const std::string& finishReason, std::uint32_t promptTokens, std::uint32_t outputTokens)
{
    auto root = makeEnvelope(identity, "chat.completion", "text_completion");
    if (isChat(identity.format))
        root["choices"] = json::array({ { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", text } } }, { "finish_reason", finishReason } } });
    else
        root["choices"] = json::array({ { { "index", 0 }, { "text", text }, { "finish_reason", finishReason } } });
    root["usage"] = makeUsage(promptTokens, outputTokens);
    return dump(root);
}

std::string formatError(const std::string& requestId, const caller_error& failure)
{
    return formatErrorBody(requestId, failure);
}

} // namespace kumquat
