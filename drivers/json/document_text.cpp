#include "drivers/json/document_text.h"

#include "drivers/json/document_codec.h"
#include "drivers/openssl/digest.h"

#include <nlohmann/json.hpp>

namespace kumquat {

namespace {

    using nlohmann::json;

    constexpr const char* namedLists[] = { "tiers", "classes", "services", "organisations" };
    // Marks an object in the store that a node wrote back. It belongs to the stored object, not to the publication, so
    // the canonical text and its hash exclude it.
    constexpr const char* repairField = "last_repair";
    // The hexadecimal digits of a SHA-256 digest that make up the 64-bit hash of a version.
    constexpr std::size_t hashDigits = 16;

    json listsToObjects(json contents)
    {
        for (const char* name : namedLists) {
            if (!contents.contains(name))
                continue;
            json items = json::object();
            for (auto& item : contents.at(name)) {
                const std::string key = item.at("name");
                item.erase("name");
                items[key] = std::move(item);
            }
            contents[name] = std::move(items);
        }
        return contents;
    }

    json objectsToLists(json contents)
    {
        for (const char* name : namedLists) {
            if (!contents.contains(name))
                continue;
            json items = json::array();
            for (auto& [key, item] : contents.at(name).items()) {
                item["name"] = key;
                items.push_back(std::move(item));
            }
            contents[name] = std::move(items);
        }
        return contents;
    }

    std::uint64_t hashOf(const std::string& text)
    {
        return std::stoull(sha256Hex(text).substr(0, hashDigits), nullptr, 16);
    }

    // Wraps a bare document in a publication without a submission id; a publication is returned unchanged.
    json wrapInPublication(json root)
    {
        if (root.is_object() && root.contains("document"))
            return root;
        const auto generation = root.is_object() ? root.value("generation", json(1U)) : json(1U);
        return { { "generation", generation }, { "document", std::move(root) } };
    }

    std::optional<error> checkPublication(const std::string& source, const json& root)
    {
        if (!root.at("document").is_object())
            return error { source + ": at /document: not a JSON object" };
        if (!root.contains("generation") || !root.at("generation").is_number_unsigned() || root.at("generation") == json(0U))
            return error { source + ": at /generation: not an integer above 0" };
        for (const char* name : { "submission_id", "operator" }) {
            if (root.contains(name) && !root.at(name).is_string())
                return error { source + ": at /" + std::string(name) + ": not a string" };
        }
        if (root.contains("history") && !root.at("history").is_object())
            return error { source + ": at /history: not a JSON object" };
        return std::nullopt;
    }

    // Expects the named lists of the publication's document as arrays.
    result<versioned_document_ptr> openPublication(const std::string& source, json root)
    {
        if (const auto failure = checkPublication(source, root))
            return *failure;
        root.erase(repairField);
        root["document"]["generation"] = root.at("generation");
        auto parsed = parseDocument(source, root.at("document").dump());
        if (const auto* failure = errorOf(parsed))
            return *failure;
        root["document"].erase("generation");
        auto opened = std::make_shared<versioned_document>();
        opened->submissionId = root.value("submission_id", "");
        root["document"] = listsToObjects(std::move(root["document"]));
        opened->text = root.dump();
        opened->version = { root.at("generation").get<std::uint64_t>(), hashOf(opened->text) };
        opened->contents = std::make_shared<const document_index>(std::move(valueOf(parsed)));
        return versioned_document_ptr(std::move(opened));
    }

    result<versioned_document_ptr> openCanonical(json root)
    {
        if (!root.is_object() || !root.contains("document") || !root.at("document").is_object())
            return error { "the document from a peer has no object 'document'" };
        root["document"] = objectsToLists(std::move(root["document"]));
        return openPublication("the document from a peer", std::move(root));
    }

    error parseError(const std::string& source, const json::exception& failure)
    {
        return { source + ": " + failure.what() };
    }

} // namespace

result<versioned_document_ptr> openPublishedDocument(const std::string& source, const std::string& text)
{
    try {
        return openPublication(source, wrapInPublication(json::parse(text)));
    } catch (const json::exception& failure) {
        return parseError(source, failure);
    }
}

result<versioned_document_ptr> openCanonicalDocument(const std::string& text)
{
    try {
        return openCanonical(json::parse(text));
    } catch (const json::exception& failure) {
        return parseError("the document from a peer", failure);
    }
}

result<versioned_document_ptr> applyDocumentSteps(const versioned_document& base, const std::vector<document_step>& steps)
{
    try {
        json root = json::parse(base.text);
        auto version = base.version;
        for (const auto& step : steps) {
            if (step.from != version)
                return error { "the step to generation " + std::to_string(step.to.generation) + " does not start at generation " + std::to_string(version.generation) };
            root = root.patch(json::parse(step.patch));
            version = step.to;
            if (hashOf(root.dump()) != version.hash)
                return error { "the step to generation " + std::to_string(version.generation) + " yields a text with another hash than announced" };
        }
        return openCanonical(std::move(root));
    } catch (const json::exception& failure) {
        return parseError("a document difference from a peer", failure);
    }
}

document_step makeDocumentStep(const versioned_document& from, const versioned_document& to)
{
    return { from.version, to.version, json::diff(json::parse(from.text), json::parse(to.text)).dump() };
}

std::string formatRepair(const versioned_document& published)
{
    json root = json::parse(published.text);
    root["document"] = objectsToLists(std::move(root["document"]));
    root[repairField] = published.version.generation;
    return root.dump();
}

} // namespace kumquat
