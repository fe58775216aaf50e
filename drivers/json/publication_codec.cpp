#include "drivers/json/publication_codec.h"

#include "drivers/json/document_codec.h"
#include "drivers/json/document_text.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace kumquat {

namespace {

    using nlohmann::json;

    json unwrapDocument(json root)
    {
        if (root.is_object() && root.contains("document"))
            return root.at("document");
        return root;
    }

    // Returns every scalar of the document's canonical form, with all defaults filled in, by its JSON pointer.
    result<std::map<std::string, json>> flattenDocument(const std::string& source, const std::string& text)
    {
        auto opened = openPublishedDocument(source, text);
        if (const auto* failure = errorOf(opened))
            return *failure;
        auto contents = valueOf(opened)->contents->contents();
        const auto normalised = openPublishedDocument(source, formatDocument(contents));
        if (const auto* failure = errorOf(normalised))
            return *failure;
        const json keyed = json::parse(valueOf(normalised)->text).at("document");
        std::map<std::string, json> fields;
        const json flat = keyed.flatten();
        for (const auto& [path, value] : flat.items())
            fields.emplace(path, value);
        return fields;
    }

    std::string jsonTextAt(const std::map<std::string, json>& fields, const std::string& path)
    {
        const auto found = fields.find(path);
        return found == fields.end() ? "" : found->second.dump();
    }

    submission readSubmission(const json& from, std::uint64_t generation)
    {
        return { generation, from.value("submission_id", ""), from.value("operator", "") };
    }

} // namespace

result<stored_publication> parseStoredPublication(std::uint64_t storeVersion, const std::string& text)
{
    try {
        const auto root = json::parse(text);
        stored_publication publication;
        publication.storeVersion = storeVersion;
        publication.lastRepairGeneration = root.value("last_repair", std::uint64_t { 0 });
        publication.latest = readSubmission(root, root.value("generation", std::uint64_t { 1 }));
        const json history = root.value("history", json::object());
        for (const auto& [generation, item] : history.items())
            publication.history.push_back(readSubmission(item, std::stoull(generation)));
        std::sort(publication.history.begin(), publication.history.end(), [](const submission& left, const submission& right) { return left.generation < right.generation; });
        // A document that was written to the store manually has no history.
        if (publication.history.empty())
            publication.history.push_back(publication.latest);
        return publication;
    } catch (const std::exception& failure) {
        return error { std::string("the store's document is invalid: ") + failure.what() };
    }
}

result<std::string> composePublication(const std::string& documentText, const std::vector<submission>& history, std::uint64_t lastRepairGeneration)
{
    try {
        json contents = unwrapDocument(json::parse(documentText));
        contents.erase("generation");
        const auto& latest = history.back();
        json root = { { "generation", latest.generation }, { "submission_id", latest.id }, { "operator", latest.operatorName }, { "document", std::move(contents) }, { "history", json::object() } };
        if (lastRepairGeneration > 0)
            root["last_repair"] = lastRepairGeneration;
        for (const auto& item : history)
            root["history"][std::to_string(item.generation)] = { { "submission_id", item.id }, { "operator", item.operatorName } };
        return root.dump();
    } catch (const json::exception& failure) {
        return error { std::string("the document cannot be parsed: ") + failure.what() };
    }
}

std::optional<std::uint64_t> baseGenerationOf(const std::string& documentText)
{
    const auto root = json::parse(documentText, nullptr, false);
    if (!root.is_object() || !root.contains("generation") || !root.at("generation").is_number_unsigned())
        return std::nullopt;
    return root.at("generation").get<std::uint64_t>();
}

result<std::vector<document_change>> compareDocuments(const std::string& beforeText, const std::string& afterText)
{
    const auto before = flattenDocument("the document in force", beforeText);
    if (const auto* failure = errorOf(before))
        return *failure;
    const auto after = flattenDocument("the document", afterText);
    if (const auto* failure = errorOf(after))
        return *failure;
    auto allFields = valueOf(before);
    allFields.insert(valueOf(after).begin(), valueOf(after).end());
    std::vector<document_change> changes;
    for (const auto& [path, value] : allFields) {
        document_change change { path, jsonTextAt(valueOf(before), path), jsonTextAt(valueOf(after), path) };
        if (change.before != change.after)
            changes.push_back(std::move(change));
    }
    return changes;
}

result<node_version> parseNodeVersion(const std::string& node, const std::string& dumpText)
{
    try {
        const auto root = json::parse(dumpText);
        return node_version { node, root.at("generation").get<std::uint64_t>(), root.value("submission_id", "") };
    } catch (const json::exception& failure) {
        return error { "node " + node + " sent an invalid dump: " + failure.what() };
    }
}

result<std::vector<std::string>> findRequestRecords(const std::string& requestId, const std::string& dumpText)
{
    try {
        const auto root = json::parse(dumpText);
        std::vector<std::string> found;
        for (const char* list : { "requests", "attempts" }) {
            for (const auto& item : root.value(list, json::array())) {
                if (item.value("request", "") != requestId)
                    continue;
                json line = item;
                line["node"] = root.value("id", "");
                line["role"] = root.value("role", "");
                found.push_back(line.dump());
            }
        }
        return found;
    } catch (const json::exception& failure) {
        return error { std::string("a node sent an invalid dump: ") + failure.what() };
    }
}

} // namespace kumquat
