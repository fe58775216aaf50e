#include "drivers/json/schema_check.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace kumquat {

namespace {

    constexpr std::size_t maxQuotedValueBytes = 80;

    // Converts the location of a failure to a JSON pointer.
    std::string pointerOf(const std::vector<std::string>& context)
    {
        std::string pointer;
        for (const auto& component : context) {
            if (component == "<root>")
                continue;
            // The validator writes steps as ["name"] or [index].
            std::string name = component;
            if (name.size() >= 2 && name.front() == '[')
                name = name.substr(1, name.size() - 2);
            if (name.size() >= 2 && name.front() == '"')
                name = name.substr(1, name.size() - 2);
            pointer += "/" + name;
        }
        return pointer.empty() ? "/" : pointer;
    }

    // Values of these members are secret and are omitted from error messages, which are logged.
    bool isSecret(const std::string& pointer)
    {
        return pointer.ends_with("key") || pointer.ends_with("token") || pointer.find("/keys/") != std::string::npos;
    }

    std::string valueAt(const nlohmann::json& root, const std::string& pointer)
    {
        const nlohmann::json::json_pointer position(pointer == "/" ? "" : pointer);
        if (!root.contains(position) || isSecret(pointer))
            return "";
        std::string text = root.at(position).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        if (text.size() > maxQuotedValueBytes)
            text = text.substr(0, maxQuotedValueBytes) + "...";
        return " (value " + text + ")";
    }

    std::string describeFailure(const nlohmann::json& root, valijson::ValidationResults& results)
    {
        // The validator reports the innermost failure first. The outer failures only state that a member is invalid.
        valijson::ValidationResults::Error failure;
        if (!results.popError(failure))
            return "the JSON text does not match the schema";
        const auto pointer = pointerOf(failure.context);
        return "at " + pointer + ": " + failure.description + valueAt(root, pointer);
    }

} // namespace

result<nlohmann::json> parseAndValidate(const std::string& source, const std::string& text, const char* schemaText)
{
    nlohmann::json root;
    try {
        root = nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error& failure) {
        return error { source + ": " + failure.what() };
    }
    valijson::Schema schema;
    valijson::SchemaParser parser;
    const auto schemaJson = nlohmann::json::parse(schemaText);
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaJson), schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (!validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(root), &results))
        return error { source + ": " + describeFailure(root, results) };
    return root;
}

} // namespace kumquat
