#include "drivers/json/document_codec.h"

#include "drivers/json/embedded_schemas.h"
#include "drivers/json/schema_check.h"

#include <map>
#include <set>

namespace kumquat {

namespace {

    using nlohmann::json;

    constexpr std::string_view digestPrefix = "sha256:";

    std::optional<std::chrono::milliseconds> readTarget(const json& targets, const char* name)
    {
        if (!targets.contains(name))
            return std::nullopt;
        return std::chrono::milliseconds(targets.at(name).get<std::int64_t>());
    }

    request_class readClass(const json& from)
    {
        request_class to;
        to.name = from.at("name");
        to.tier = from.at("tier");
        const auto targets = from.value("targets", json::object());
        to.targets.firstToken = readTarget(targets, "first_token_ms");
        to.targets.betweenTokens = readTarget(targets, "between_tokens_ms");
        to.targets.total = readTarget(targets, "total_ms");
        to.repeatable = from.value("repeatable", to.repeatable);
        to.lateIsUseless = from.value("late_is_useless", to.lateIsUseless);
        to.guaranteedShare = from.value("guaranteed_share", to.guaranteedShare);
        to.expectedTokens = from.value("expected_tokens", to.expectedTokens);
        return to;
    }

    service readService(const json& from)
    {
        service to;
        to.name = from.at("name");
        to.kind = from.at("kind") == "plain" ? service_kind::plain : service_kind::engine;
        to.models = from.value("models", to.models);
        to.checksFencing = from.value("checks_fencing", false);
        return to;
    }

    organisation readOrganisation(const json& from)
    {
        organisation to;
        to.name = from.at("name");
        for (const auto& key : from.at("keys"))
            to.keyDigests.push_back(key.get<std::string>().substr(digestPrefix.size()));
        const auto limits = from.value("limits", json::object());
        to.limits.requestsPerSecond = limits.value("requests_per_second", 0.0);
        to.limits.burst = limits.value("burst", to.limits.requestsPerSecond);
        to.limits.concurrency = limits.value("concurrency", 0U);
        return to;
    }

    class_rule readRule(const json& from)
    {
        return { .organisation = from.value("organisation", ""),
            .service = from.value("service", ""),
            .pathPrefix = from.value("path_prefix", ""),
            .className = from.at("class") };
    }

    // Returns the index of the first item whose name an earlier item already has, or nothing if all names are unique.
    template <typename Item>
    std::optional<std::size_t> findDuplicate(const std::vector<Item>& items)
    {
        std::set<std::string> seen;
        for (std::size_t index = 0; index < items.size(); ++index) {
            if (!seen.insert(items[index].name).second)
                return index;
        }
        return std::nullopt;
    }

    template <typename Item>
    std::optional<error> checkUnique(const char* list, const std::vector<Item>& items)
    {
        const auto duplicate = findDuplicate(items);
        if (!duplicate)
            return std::nullopt;
        return error { "at /" + std::string(list) + "/" + std::to_string(*duplicate) + "/name: '" + items[*duplicate].name + "' is used twice" };
    }

    // Sets the tier rank of each class. Returns an error for a rank that two tiers have or a tier that does not exist.
    std::optional<error> resolveTiers(document& contents)
    {
        std::map<std::string, std::uint32_t> ranks;
        std::set<std::uint32_t> usedRanks;
        for (std::size_t index = 0; index < contents.tiers.size(); ++index) {
            const auto& item = contents.tiers[index];
            if (!usedRanks.insert(item.rank).second)
                return error { "at /tiers/" + std::to_string(index) + "/rank: rank " + std::to_string(item.rank) + " is used twice" };
            ranks.emplace(item.name, item.rank);
        }
        for (std::size_t index = 0; index < contents.classes.size(); ++index) {
            auto& item = contents.classes[index];
            const auto found = ranks.find(item.tier);
            if (found == ranks.end())
                return error { "at /classes/" + std::to_string(index) + "/tier: tier '" + item.tier + "' does not exist" };
            item.tierRank = found->second;
        }
        return std::nullopt;
    }

    std::optional<error> checkServices(const document& contents)
    {
        std::map<std::string, std::string> owners;
        for (std::size_t index = 0; index < contents.services.size(); ++index) {
            const auto& item = contents.services[index];
            const auto location = "at /services/" + std::to_string(index) + "/models: ";
            if (item.kind == service_kind::engine && item.models.empty())
                return error { location + "engine service '" + item.name + "' has no model" };
            for (const auto& model : item.models) {
                const auto [owner, isNew] = owners.emplace(model, item.name);
                if (!isNew)
                    return error { location + "model '" + model + "' is already served by '" + owner->second + "'" };
            }
        }
        return std::nullopt;
    }

    std::optional<error> checkKeys(const document& contents)
    {
        std::map<std::string, std::string> owners;
        for (std::size_t index = 0; index < contents.organisations.size(); ++index) {
            for (const auto& digest : contents.organisations[index].keyDigests) {
                const auto [owner, isNew] = owners.emplace(digest, contents.organisations[index].name);
                if (!isNew)
                    return error { "at /organisations/" + std::to_string(index) + "/keys: a key is already used by '" + owner->second + "'" };
            }
        }
        return std::nullopt;
    }

    std::optional<error> checkRules(const document& contents)
    {
        const auto isMissing = [](const auto& items, const std::string& name) {
            return !name.empty() && std::none_of(items.begin(), items.end(), [&](const auto& item) { return item.name == name; });
        };
        for (std::size_t index = 0; index < contents.rules.size(); ++index) {
            const auto& rule = contents.rules[index];
            const auto location = "at /rules/" + std::to_string(index);
            if (isMissing(contents.classes, rule.className))
                return error { location + "/class: class '" + rule.className + "' does not exist" };
            if (isMissing(contents.services, rule.service))
                return error { location + "/service: service '" + rule.service + "' does not exist" };
            if (isMissing(contents.organisations, rule.organisation))
                return error { location + "/organisation: organisation '" + rule.organisation + "' does not exist" };
        }
        return std::nullopt;
    }

    std::optional<error> validateDocument(document& contents)
    {
        for (const auto& failure : { checkUnique("tiers", contents.tiers), checkUnique("classes", contents.classes), checkUnique("services", contents.services), checkUnique("organisations", contents.organisations) }) {
            if (failure)
                return failure;
        }
        if (auto failure = resolveTiers(contents))
            return failure;
        if (auto failure = checkServices(contents))
            return failure;
        if (auto failure = checkKeys(contents))
            return failure;
        return checkRules(contents);
    }

    json writeTargets(const latency_targets& from)
    {
        json to = json::object();
        if (from.firstToken)
            to["first_token_ms"] = from.firstToken->count();
        if (from.betweenTokens)
            to["between_tokens_ms"] = from.betweenTokens->count();
        if (from.total)
            to["total_ms"] = from.total->count();
        return to;
    }

    json writeClass(const request_class& from)
    {
        return { { "name", from.name }, { "tier", from.tier }, { "targets", writeTargets(from.targets) }, { "repeatable", from.repeatable }, { "late_is_useless", from.lateIsUseless }, { "guaranteed_share", from.guaranteedShare }, { "expected_tokens", from.expectedTokens } };
    }

    json writeService(const service& from)
    {
        return { { "name", from.name }, { "kind", from.kind == service_kind::plain ? "plain" : "engine" }, { "models", from.models }, { "checks_fencing", from.checksFencing } };
    }

    json writeOrganisation(const organisation& from)
    {
        json keys = json::array();
        for (const auto& digest : from.keyDigests)
            keys.push_back(std::string(digestPrefix) + digest);
        const json limits = { { "requests_per_second", from.limits.requestsPerSecond }, { "burst", from.limits.burst }, { "concurrency", from.limits.concurrency } };
        return { { "name", from.name }, { "keys", keys }, { "limits", limits } };
    }

    json writeRule(const class_rule& from)
    {
        return { { "organisation", from.organisation }, { "service", from.service }, { "path_prefix", from.pathPrefix }, { "class", from.className } };
    }

} // namespace

result<document> parseDocument(const std::string& source, const std::string& text)
{
    const auto parsed = parseAndValidate(source, text, documentSchema);
    if (const auto* failure = errorOf(parsed))
        return *failure;
    const auto& root = valueOf(parsed);
    document contents;
    contents.generation = root.value("generation", std::uint64_t { 1 });
    for (const auto& item : root.at("tiers"))
        contents.tiers.push_back({ item.at("name"), item.at("rank") });
    for (const auto& item : root.at("classes"))
        contents.classes.push_back(readClass(item));
    for (const auto& item : root.at("services"))
        contents.services.push_back(readService(item));
    for (const auto& item : root.at("organisations"))
        contents.organisations.push_back(readOrganisation(item));
    for (const auto& item : root.value("rules", json::array()))
        contents.rules.push_back(readRule(item));
    if (const auto failure = validateDocument(contents))
        return error { source + ": " + failure->message };
    return contents;
}

std::string formatDocument(const document& contents)
{
    json root = { { "format", 1 }, { "generation", contents.generation }, { "tiers", json::array() }, { "classes", json::array() }, { "services", json::array() }, { "organisations", json::array() }, { "rules", json::array() } };
    for (const auto& item : contents.tiers)
        root["tiers"].push_back({ { "name", item.name }, { "rank", item.rank } });
    for (const auto& item : contents.classes)
        root["classes"].push_back(writeClass(item));
    for (const auto& item : contents.services)
        root["services"].push_back(writeService(item));
    for (const auto& item : contents.organisations)
        root["organisations"].push_back(writeOrganisation(item));
    for (const auto& item : contents.rules)
        root["rules"].push_back(writeRule(item));
    return root.dump(2);
}

} // namespace kumquat
