#include "bench/harness/scenario_codec.h"

#include "drivers/json/document_codec.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <map>
#include <sstream>

namespace kumquat_bench {

using namespace kumquat;
using json = nlohmann::json;

namespace {

    result<std::string> readText(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            return error { "file '" + path + "' cannot be read" };
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    duration secondsAt(const json& source, const char* name, double defaultValue = 0)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(source.value(name, defaultValue)));
    }

    duration millisecondsAt(const json& source, const char* name, double defaultValue = 0)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(source.value(name, defaultValue)));
    }

    engine_model parseEngine(const json& source)
    {
        engine_model engine;
        engine.maxBatchSize = source.at("maximum_batch");
        engine.iterationBaseTime = millisecondsAt(source, "iteration_base_ms");
        engine.iterationTimePerRequest = millisecondsAt(source, "iteration_per_request_ms");
        engine.prefillTokensPerSecond = source.at("prefill_tokens_per_second");
        engine.prefillTokensPerIteration = source.at("prefill_tokens_per_iteration");
        engine.maxCachedPrefixes = source.at("cached_prefixes");
        engine.restartTime = secondsAt(source, "restart_s");
        return engine;
    }

    traffic_profile parseProfile(const json& source)
    {
        traffic_profile profile;
        profile.className = source.at("class");
        profile.meanAnswerTokens = source.value("mean_tokens", 0.0);
        profile.logLengthDeviation = source.value("length_spread", profile.logLengthDeviation);
        profile.maxAnswerTokens = source.value("maximum_tokens", profile.maxAnswerTokens);
        profile.promptTokens = source.value("prompt_tokens", 0U);
        profile.sharedPromptTokens = source.value("shared_prompt_tokens", 0U);
        profile.tokensPerChunk = source.value("tokens_per_chunk", profile.tokensPerChunk);
        profile.serviceTime = millisecondsAt(source, "service_time_ms");
        profile.firstTokenTimeout = secondsAt(source, "patience_s");
        return profile;
    }

    result<deployment> parseDeployment(const std::string& name, const json& source, const std::string& sourceFolder)
    {
        const auto path = sourceFolder + "/" + source.at("document").get<std::string>();
        const auto text = readText(path);
        if (const auto* failure = errorOf(text))
            return *failure;
        const auto parsed = parseDocument(path, valueOf(text));
        if (const auto* failure = errorOf(parsed))
            return *failure;
        deployment site;
        site.name = name;
        site.document = std::make_shared<const document_index>(valueOf(parsed));
        site.entries = source.at("entries");
        site.dataCentres = source.at("data_centres").get<std::vector<std::string>>();
        site.oneWayDelay = millisecondsAt(source, "one_way_ms");
        site.engineService = source.at("engine_service");
        site.model = source.at("model");
        site.engines = source.at("engines");
        site.engine = parseEngine(source.at("engine"));
        site.plainService = source.at("plain_service");
        site.plainWorkers = source.at("plain_workers");
        for (const auto& [organisation, share] : source.at("organisations").items())
            site.organisations.push_back({ organisation, share.get<double>() });
        for (const auto& profile : source.at("profiles"))
            site.profiles.push_back(parseProfile(profile));
        return site;
    }

    traffic_phase parsePhase(const json& source, duration length)
    {
        traffic_phase phase;
        phase.className = source.at("class");
        phase.from = secondsAt(source, "from_s");
        phase.until = source.contains("until_s") ? secondsAt(source, "until_s") : length;
        phase.capacityShare = source.value("of_capacity", 0.0);
        phase.requestsPerSecond = source.value("requests_per_second", 0.0);
        phase.organisation = source.value("organisation", std::string());
        return phase;
    }

    result<fault> parseFault(const json& source)
    {
        const std::string kind = source.at("fault");
        const auto at = secondsAt(source, "at_s");
        if (kind == "engine_crash")
            return engine_crash { at, source.at("engine") };
        if (kind == "engine_slowdown")
            return engine_slowdown { at, source.at("engine"), source.at("factor") };
        if (kind == "sidecar_drain")
            return sidecar_drain { at, source.at("sidecar") };
        if (kind == "crashing_caller")
            return crashing_caller { at, secondsAt(source, "until_s"), secondsAt(source, "interval_s", 1), source.at("class"), source.at("organisation") };
        return error { "unknown fault '" + kind + "' in a scenario" };
    }

    result<scenario> parseScenario(const json& source, const std::map<std::string, deployment>& deployments)
    {
        const std::string name = source.at("deployment");
        const auto site = deployments.find(name);
        if (site == deployments.end())
            return error { "scenario refers to unknown deployment '" + name + "'" };
        scenario plan;
        plan.name = source.at("name");
        plan.site = site->second;
        plan.length = secondsAt(source, "length_s", 120);
        plan.seed = source.value("seed", plan.seed);
        plan.network.reportDelay = millisecondsAt(source, "report_delay_ms");
        plan.hasEngineCrashes = source.value("crashes_engines", false);
        plan.checksLetterTargets = source.value("compares_letter", false);
        for (const auto& phase : source.at("load"))
            plan.phases.push_back(parsePhase(phase, plan.length));
        for (const auto& item : source.value("faults", json::array())) {
            const auto parsed = parseFault(item);
            if (const auto* failure = errorOf(parsed))
                return *failure;
            plan.faults.push_back(valueOf(parsed));
        }
        return plan;
    }

    result<std::vector<scenario>> parseScenarios(const json& source, const std::string& sourceFolder)
    {
        std::map<std::string, deployment> deployments;
        for (const auto& [name, item] : source.at("deployments").items()) {
            const auto site = parseDeployment(name, item, sourceFolder);
            if (const auto* failure = errorOf(site))
                return *failure;
            deployments.emplace(name, valueOf(site));
        }
        std::vector<scenario> plans;
        for (const auto& item : source.at("scenarios")) {
            const auto plan = parseScenario(item, deployments);
            if (const auto* failure = errorOf(plan))
                return *failure;
            plans.push_back(valueOf(plan));
        }
        return plans;
    }

} // namespace

result<std::vector<scenario>> loadScenarios(const std::string& path, const std::string& sourceFolder)
{
    const auto text = readText(path);
    if (const auto* failure = errorOf(text))
        return *failure;
    try {
        return parseScenarios(json::parse(valueOf(text)), sourceFolder);
    } catch (const json::exception& failure) {
        return error { path + ": " + failure.what() };
    }
}

result<bench_bounds> loadBounds(const std::string& path)
{
    const auto text = readText(path);
    if (const auto* failure = errorOf(text))
        return *failure;
    try {
        const auto source = json::parse(valueOf(text));
        bench_bounds bounds;
        bounds.minTopTierAttainment = source.at("top_tier_attainment");
        bounds.maxStarvation = std::chrono::seconds(source.at("longest_drought_s").get<int>());
        bounds.maxInversions = source.at("inversions");
        bounds.minGoodputRatio = source.at("goodput_of_baselines");
        bounds.maxWastedShare = source.at("wasted_share");
        bounds.maxUpstreamsLostToOneRequest = source.at("upstreams_lost_to_one_request");
        bounds.minLetterAttainment = source.at("letter_attainment");
        return bounds;
    } catch (const json::exception& failure) {
        return error { path + ": " + failure.what() };
    }
}

} // namespace kumquat_bench
