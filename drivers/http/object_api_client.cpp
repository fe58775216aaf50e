#include "drivers/http/object_api_client.h"

#include "drivers/json/object_api_codec.h"

#include <httplib.h>

namespace kumquat {

namespace {

    httplib::Client makeClient(const object_api_client::options& settings, std::chrono::milliseconds readTimeout)
    {
        httplib::Client client(settings.host, settings.port);
        client.set_connection_timeout(settings.timeout);
        client.set_read_timeout(readTimeout);
        return client;
    }

    error noResponse(const std::string& call, httplib::Error transportError)
    {
        return { "the object API did not respond to " + call + ": " + httplib::to_string(transportError) };
    }

    result<stored_object> parseObjectAnswer(const std::string& key, const httplib::Result& answer)
    {
        if (!answer)
            return noResponse("a read of '" + key + "'", answer.error());
        if (answer->status == 404)
            return stored_object { .key = key };
        if (answer->status != 200)
            return error { "the object API answered a read of '" + key + "' with status " + std::to_string(answer->status) };
        return parseStoredObject(key, answer->body);
    }

} // namespace

object_api_client::object_api_client(options settings)
    : m_options(std::move(settings))
{
}

result<stored_object> object_api_client::read(const std::string& key) const
{
    auto client = makeClient(m_options, m_options.timeout);
    return parseObjectAnswer(key, client.Get("/objects/" + key));
}

result<stored_object> object_api_client::watch(const std::string& key, std::uint64_t afterVersion, std::chrono::milliseconds maxWait) const
{
    auto client = makeClient(m_options, m_options.timeout + maxWait);
    return parseObjectAnswer(key, client.Get("/watch/" + key + "?after=" + std::to_string(afterVersion) + "&wait_ms=" + std::to_string(maxWait.count())));
}

update_outcome object_api_client::update(const std::string& key, std::uint64_t expectedVersion, const std::string& value) const
{
    auto client = makeClient(m_options, m_options.timeout);
    const httplib::Headers headers { { "If-Match", std::to_string(expectedVersion) } };
    const auto answer = client.Put("/objects/" + key, headers, value, "application/octet-stream");
    if (!answer)
        return response_lost { noResponse("an update of '" + key + "'", answer.error()).message };
    if (answer->status == 409 || answer->status == 200) {
        const auto version = parseVersion(answer->body);
        if (const auto* failure = errorOf(version))
            return response_lost { failure->message };
        if (answer->status == 409)
            return version_conflict { valueOf(version) };
        return stored_object { .key = key, .version = valueOf(version), .value = value };
    }
    return response_lost { "the object API answered an update of '" + key + "' with status " + std::to_string(answer->status) };
}

void object_api_client::remove(const std::string& key, std::uint64_t expectedVersion) const
{
    auto client = makeClient(m_options, m_options.timeout);
    client.Delete("/objects/" + key, httplib::Headers { { "If-Match", std::to_string(expectedVersion) } });
}

result<std::vector<stored_object>> object_api_client::list(const std::string& prefix) const
{
    auto client = makeClient(m_options, m_options.timeout);
    const auto answer = client.Get("/objects?prefix=" + prefix);
    if (!answer)
        return noResponse("a listing of '" + prefix + "'", answer.error());
    if (answer->status != 200)
        return error { "the object API answered a listing of '" + prefix + "' with status " + std::to_string(answer->status) };
    return parseStoredObjects(answer->body);
}

result<std::vector<instance>> object_api_client::listInstances() const
{
    auto client = makeClient(m_options, m_options.timeout);
    const auto answer = client.Get("/instances");
    if (!answer)
        return noResponse("a listing of instances", answer.error());
    if (answer->status != 200)
        return error { "the object API answered a listing of instances with status " + std::to_string(answer->status) };
    return parseInstances(answer->body);
}

} // namespace kumquat
