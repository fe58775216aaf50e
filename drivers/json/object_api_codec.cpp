#include "drivers/json/object_api_codec.h"

#include <nlohmann/json.hpp>

namespace kumquat {

namespace {

    using nlohmann::json;

    error invalidBodyError(const json::exception& failure)
    {
        return { std::string("the object API sent an invalid body: ") + failure.what() };
    }

} // namespace

result<stored_object> parseStoredObject(const std::string& key, const std::string& body)
{
    try {
        const auto root = json::parse(body);
        return stored_object { .key = key, .version = root.at("version"), .value = root.at("value") };
    } catch (const json::exception& failure) {
        return invalidBodyError(failure);
    }
}

result<std::vector<stored_object>> parseStoredObjects(const std::string& body)
{
    try {
        std::vector<stored_object> objects;
        for (const auto& item : json::parse(body).at("objects"))
            objects.push_back({ .key = item.at("key"), .version = item.at("version"), .value = item.at("value") });
        return objects;
    } catch (const json::exception& failure) {
        return invalidBodyError(failure);
    }
}

result<std::uint64_t> parseVersion(const std::string& body)
{
    try {
        return json::parse(body).at("version").get<std::uint64_t>();
    } catch (const json::exception& failure) {
        return invalidBodyError(failure);
    }
}

result<std::vector<instance>> parseInstances(const std::string& body)
{
    try {
        std::vector<instance> instances;
        const auto root = json::parse(body);
        for (const auto& item : root.at("instances")) {
            instances.push_back({ .id = item.at("id"),
                .role = item.at("role"),
                .service = item.value("service", ""),
                .dataCentre = item.value("data_centre", ""),
                .address = item.at("address"),
                .leaving = item.value("leaving", false) });
        }
        return instances;
    } catch (const json::exception& failure) {
        return invalidBodyError(failure);
    }
}

} // namespace kumquat
