#include "drivers/json/load_answer_codec.h"

#include <nlohmann/json.hpp>

namespace kumquat {

load_event parseLoadEvent(const std::string& data)
{
    using nlohmann::json;
    load_event event;
    const auto root = json::parse(data, nullptr, false);
    if (!root.is_object())
        return event;
    if (root.contains("error") && root.at("error").is_object()) {
        event.errorCode = root.at("error").value("code", "unnamed");
        event.errorRan = root.at("error").value("ran", "unknown");
    }
    if (root.contains("usage") && root.at("usage").is_object())
        event.reportedTokens = root.at("usage").value("completion_tokens", 0U);
    const json::json_pointer chatText("/choices/0/delta/content");
    const json::json_pointer plainText("/choices/0/text");
    for (const auto& pointer : { chatText, plainText }) {
        if (root.contains(pointer) && root.at(pointer).is_string())
            event.text = root.at(pointer);
    }
    return event;
}

} // namespace kumquat
