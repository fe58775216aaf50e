#include "drivers/json/completion_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace kumquat;
using nlohmann::json;

namespace {

constexpr const char* chatPath = "/v1/chat/completions";

} // namespace

TEST_CASE("a resumed engine request appends the delivered text and reduces the token limit")
{
    start_run run;
    run.job.body = R"({"model":"m","max_tokens":10,"messages":[{"role":"user","content":"q"}]})";
    run.priority = 2;
    run.resumePrefix = "one two ";
    run.resumeTokens = 2;
    const auto body = json::parse(formatEngineRequest(run));
    CHECK(body.at("stream") == true);
    CHECK(body.at("priority") == 2);
    CHECK(body.at("max_tokens") == 8);
    CHECK(body.at("continue_final_message") == true);
    CHECK(body.at("messages").back() == json { { "role", "assistant" }, { "content", "one two " } });
}

TEST_CASE("prompts with a common prefix share their first prefix hashes")
{
    const auto summarise = [](const std::string& prompt) {
        const json body = { { "model", "m" }, { "messages", { { { "role", "user" }, { "content", prompt } } } } };
        return std::get<completion_summary>(parseCompletion(chatPath, body.dump()));
    };
    const std::string common(2000, 'x');
    const auto left = summarise(common + "left");
    const auto right = summarise(common + "right, and longer");
    REQUIRE(left.prefixHashes.size() >= 3);
    CHECK(std::equal(left.prefixHashes.begin(), left.prefixHashes.begin() + 3, right.prefixHashes.begin()));
    CHECK(summarise(std::string(2000, 'y')).prefixHashes[0] != left.prefixHashes[0]);
}

TEST_CASE("an invalid completion body is an error that names the field")
{
    const auto messageFor = [](const std::string& body) { return std::get<error>(parseCompletion(chatPath, body)).message; };
    CHECK_THAT(messageFor("[]"), Catch::Contains("object"));
    CHECK_THAT(messageFor(R"({"messages":[]})"), Catch::Contains("'model'"));
    CHECK_THAT(messageFor(R"({"model":"m","messages":[]})"), Catch::Contains("'messages'"));
    CHECK_THAT(messageFor(R"({"model":"m","messages":[1],"stream":"yes"})"), Catch::Contains("'stream'"));
    CHECK_THAT(messageFor(R"({"model":"m","messages":[1],"max_tokens":-1})"), Catch::Contains("'max_tokens'"));
    CHECK_THAT(messageFor(R"({"model":"m","messages":[1],"tools":[]})"), Catch::Contains("'tools'"));
}

TEST_CASE("engine events yield the text, the finish reason and the prompt tokens")
{
    const auto chunk = std::get<engine_chunk>(parseEngineChunk(R"({"choices":[{"delta":{"content":"hi"},"finish_reason":null}]})"));
    CHECK(chunk.text == "hi");
    CHECK(chunk.tokens == 1);
    const auto end = std::get<engine_chunk>(parseEngineChunk(R"({"choices":[{"delta":{},"finish_reason":"length"}],"usage":{"prompt_tokens":9}})"));
    CHECK(end.finishReason == "length");
    CHECK(end.promptTokens == 9);
    CHECK(errorOf(parseEngineChunk("{")) != nullptr);
}

TEST_CASE("a completion is resumable only if its delivered text can be appended to the prompt")
{
    const auto resumable = [](const std::string& path, const std::string& body) { return valueOf(parseCompletion(path, body)).resumable; };
    CHECK(resumable(chatPath, R"({"model":"m","messages":[{"role":"user","content":"q"}]})"));
    CHECK(resumable("/v1/completions", R"({"model":"m","prompt":"q","echo":false})"));
    CHECK_FALSE(resumable("/v1/completions", R"({"model":"m","prompt":[1,2]})"));
    CHECK_FALSE(resumable("/v1/completions", R"({"model":"m","prompt":"q","echo":true})"));
}
