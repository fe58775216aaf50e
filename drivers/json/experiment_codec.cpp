#include "drivers/json/experiment_codec.h"

#include "core/hash.h"
#include "drivers/json/embedded_schemas.h"
#include "drivers/json/schema_check.h"

namespace kumquat {

namespace {

    using nlohmann::json;

    constexpr const char* promptVocabulary[] = { "summarise", "the", "evening", "round", "of", "north", "gate", "and", "garden", "path" };

    arrival_pattern readArrivals(const json& from)
    {
        const std::string kind = from.at("kind");
        if (kind == "constant")
            return constant_arrivals { from.at("per_second") };
        if (kind == "poisson")
            return poisson_arrivals { from.at("per_second") };
        if (kind == "burst")
            return burst_arrivals { std::chrono::milliseconds(from.value("at_ms", 0)), from.at("count") };
        return festival_arrivals { from.at("base_per_second"), from.at("peak_per_second") };
    }

    void readTarget(const json& targets, const char* name, std::optional<std::chrono::milliseconds>& value)
    {
        if (targets.contains(name))
            value = std::chrono::milliseconds(targets.at(name).get<std::int64_t>());
    }

    load_stream readStream(const json& from)
    {
        load_stream to;
        to.name = from.at("name");
        to.className = from.at("class");
        to.key = from.at("key");
        to.path = from.value("path", to.path);
        to.model = from.value("model", to.model);
        to.promptWords = from.value("prompt_words", to.promptWords);
        to.maxOutputTokens = from.value("max_tokens", to.maxOutputTokens);
        to.idempotencyKeys = from.value("idempotency_keys", to.idempotencyKeys);
        to.arrivals = readArrivals(from.at("arrivals"));
        const auto targets = from.value("targets", json::object());
        readTarget(targets, "first_token_ms", to.targets.firstToken);
        readTarget(targets, "between_tokens_ms", to.targets.betweenTokens);
        readTarget(targets, "total_ms", to.targets.total);
        return to;
    }

    std::string makePrompt(const load_stream& stream, std::uint64_t number)
    {
        std::string prompt = stream.name + " " + std::to_string(number);
        for (std::uint32_t index = 0; index < stream.promptWords; ++index)
            prompt += std::string(" ") + promptVocabulary[hashBytes(stream.name, number + index) % std::size(promptVocabulary)];
        return prompt;
    }

    double toMilliseconds(std::chrono::microseconds span)
    {
        return std::chrono::duration<double, std::milli>(span).count();
    }

    json writePercentiles(const load_percentiles& from)
    {
        return { { "median_ms", toMilliseconds(from.median) }, { "p95_ms", toMilliseconds(from.p95) }, { "p99_ms", toMilliseconds(from.p99) } };
    }

    json writeStream(const load_stream_report& from, double elapsedSeconds)
    {
        json to = { { "name", from.name }, { "class", from.className }, { "sent", from.sent }, { "whole", from.complete }, { "refused", from.refused }, { "unknown", from.unknown }, { "broken", from.broken }, { "unreachable", from.unreachable }, { "errors", from.errors }, { "tokens", from.tokens } };
        to["attainment"] = from.sent == 0 ? 1.0 : static_cast<double>(from.attained) / static_cast<double>(from.sent);
        to["goodput_tokens_per_second"] = elapsedSeconds > 0 ? static_cast<double>(from.usefulTokens) / elapsedSeconds : 0.0;
        to["first_token"] = writePercentiles(from.firstToken);
        to["total"] = writePercentiles(from.total);
        return to;
    }

} // namespace

result<load_experiment> parseExperiment(const std::string& source, const std::string& text)
{
    const auto parsed = parseAndValidate(source, text, loadExperimentSchema);
    if (const auto* failure = errorOf(parsed))
        return *failure;
    const auto& root = valueOf(parsed);
    load_experiment experiment;
    experiment.seed = root.value("seed", experiment.seed);
    experiment.duration = std::chrono::milliseconds(root.value("duration_ms", experiment.duration.count()));
    experiment.entries = root.at("entries").get<std::vector<std::string>>();
    for (const auto& item : root.at("streams"))
        experiment.streams.push_back(readStream(item));
    return experiment;
}

std::string formatLoadBody(const load_stream& stream, std::uint64_t number)
{
    if (!stream.path.starts_with("/v1/"))
        return json { { "request", stream.name + " " + std::to_string(number) } }.dump();
    json body = { { "model", stream.model }, { "stream", true }, { "max_tokens", stream.maxOutputTokens } };
    if (stream.path == "/v1/completions")
        body["prompt"] = makePrompt(stream, number);
    else
        body["messages"] = json::array({ { { "role", "user" }, { "content", makePrompt(stream, number) } } });
    return body.dump();
}

std::string formatLoadReport(const load_report& report)
{
    const double elapsedSeconds = std::chrono::duration<double>(report.elapsed).count();
    json root = { { "seed", report.seed }, { "elapsed_s", elapsedSeconds }, { "sent_late", report.sentLate }, { "streams", json::array() } };
    for (const auto& stream : report.streams)
        root["streams"].push_back(writeStream(stream, elapsedSeconds));
    return root.dump(2);
}

} // namespace kumquat
