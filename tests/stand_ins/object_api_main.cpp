// Stands in for the platform's object API and instance list in tests: versioned objects, conditional updates and watches. On
// command it is unavailable or slow, answers writes that took effect with status 504, restores an object to an older version,
// or returns an instance list that is out of date.

#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using nlohmann::json;
using steady = std::chrono::steady_clock;

constexpr std::size_t maxValueBytes = 1 << 20;

struct object_state {
    std::uint64_t version = 0;
    std::string value;
};

class object_api {
public:
    void read(const std::string& key, httplib::Response& response)
    {
        if (!beginCall("reads", response))
            return;
        const std::lock_guard lock(m_mutex);
        respond(m_objects.find(key), response);
    }

    void list(const std::string& prefix, httplib::Response& response)
    {
        if (!beginCall("reads", response))
            return;
        const std::lock_guard lock(m_mutex);
        json objects = json::array();
        for (auto position = m_objects.lower_bound(prefix); position != m_objects.end() && position->first.starts_with(prefix); ++position)
            objects.push_back({ { "key", position->first }, { "version", position->second.version }, { "value", position->second.value } });
        response.set_content(json { { "objects", objects } }.dump(), "application/json");
    }

    void watch(const std::string& key, std::uint64_t knownVersion, std::chrono::milliseconds maxWait, httplib::Response& response)
    {
        if (!beginCall("watches", response))
            return;
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, maxWait, [&] { return m_isUnavailable || versionOf(key) != knownVersion; });
        if (m_isUnavailable) {
            response.status = 503;
            return;
        }
        respond(m_objects.find(key), response);
    }

    void update(const std::string& key, std::uint64_t expectedVersion, const std::string& value, httplib::Response& response)
    {
        if (!beginCall("writes", response))
            return;
        if (value.size() > maxValueBytes) {
            response.status = 413;
            return;
        }
        const std::lock_guard lock(m_mutex);
        if (versionOf(key) != expectedVersion) {
            response.status = 409;
            response.set_content(json { { "version", versionOf(key) } }.dump(), "application/json");
            return;
        }
        auto& object = m_objects[key];
        object.version = ++m_lastVersion;
        object.value = value;
        m_changed.notify_all();
        if (m_responsesToLose > 0) {
            m_responsesToLose--;
            response.status = 504;
            return;
        }
        response.set_content(json { { "version", object.version } }.dump(), "application/json");
    }

    void remove(const std::string& key, std::uint64_t expectedVersion, httplib::Response& response)
    {
        if (!beginCall("writes", response))
            return;
        const std::lock_guard lock(m_mutex);
        if (versionOf(key) != expectedVersion) {
            response.status = 409;
            response.set_content(json { { "version", versionOf(key) } }.dump(), "application/json");
            return;
        }
        m_objects.erase(key);
        m_changed.notify_all();
        response.set_content(json { { "version", 0 } }.dump(), "application/json");
    }

    void listInstances(httplib::Response& response)
    {
        if (!beginCall("reads", response))
            return;
        const std::lock_guard lock(m_mutex);
        while (m_instanceListHistory.size() > 1 && m_instanceListHistory[1].first + m_instanceListDelay <= steady::now())
            m_instanceListHistory.pop_front();
        const json instances = m_instanceListHistory.empty() ? json::array() : m_instanceListHistory.front().second;
        response.set_content(json { { "instances", instances } }.dump(), "application/json");
    }

    void applyControl(const std::string& body, httplib::Response& response)
    {
        const auto command = json::parse(body, nullptr, false);
        const std::lock_guard lock(m_mutex);
        m_isUnavailable = command.value("down", m_isUnavailable);
        m_delay = std::chrono::milliseconds(command.value("delay_ms", m_delay.count()));
        m_responsesToLose = command.value("lose_answers", m_responsesToLose);
        m_instanceListDelay = std::chrono::milliseconds(command.value("list_lag_ms", m_instanceListDelay.count()));
        if (command.contains("instances"))
            m_instanceListHistory.emplace_back(steady::now(), command.at("instances"));
        // Overwrites an object as restoring a backup does: its version is one that has been used before.
        if (command.contains("restore"))
            m_objects[command.at("restore").at("key")] = { command.at("restore").at("version"), command.at("restore").at("value") };
        m_changed.notify_all();
        response.set_content("{}", "application/json");
    }

    void writeStatistics(httplib::Response& response)
    {
        const std::lock_guard lock(m_mutex);
        response.set_content(json { { "calls", m_calls } }.dump(), "application/json");
    }

private:
    std::uint64_t versionOf(const std::string& key) const
    {
        const auto found = m_objects.find(key);
        return found == m_objects.end() ? 0 : found->second.version;
    }

    // Counts the call and waits for the configured delay. Returns false, with status 503 set, when the service is unavailable.
    bool beginCall(const char* kind, httplib::Response& response)
    {
        std::chrono::milliseconds delay;
        bool isUnavailable = false;
        {
            const std::lock_guard lock(m_mutex);
            m_calls[kind]++;
            delay = m_delay;
            isUnavailable = m_isUnavailable;
        }
        std::this_thread::sleep_for(delay);
        if (isUnavailable)
            response.status = 503;
        return !isUnavailable;
    }

    void respond(std::map<std::string, object_state>::const_iterator found, httplib::Response& response) const
    {
        if (found == m_objects.end()) {
            response.status = 404;
            return;
        }
        response.set_content(json { { "version", found->second.version }, { "value", found->second.value } }.dump(), "application/json");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, object_state> m_objects;
    std::deque<std::pair<steady::time_point, json>> m_instanceListHistory;
    std::map<std::string, std::uint64_t> m_calls;
    std::uint64_t m_lastVersion = 0;
    bool m_isUnavailable = false;
    std::chrono::milliseconds m_delay { 0 };
    std::uint32_t m_responsesToLose = 0;
    std::chrono::milliseconds m_instanceListDelay { 0 };
};

std::uint64_t parseNumber(const std::string& text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount < 2) {
        std::cerr << "usage: stand-in-object-api PORT\n";
        return 2;
    }
    object_api api;
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(256); };
    server.set_tcp_nodelay(true);
    server.Get(R"(/objects/(.+))", [&](const httplib::Request& request, httplib::Response& response) { api.read(request.matches[1], response); });
    server.Get("/objects", [&](const httplib::Request& request, httplib::Response& response) { api.list(request.get_param_value("prefix"), response); });
    server.Put(R"(/objects/(.+))", [&](const httplib::Request& request, httplib::Response& response) { api.update(request.matches[1], parseNumber(request.get_header_value("If-Match")), request.body, response); });
    server.Delete(R"(/objects/(.+))", [&](const httplib::Request& request, httplib::Response& response) { api.remove(request.matches[1], parseNumber(request.get_header_value("If-Match")), response); });
    server.Get(R"(/watch/(.+))", [&](const httplib::Request& request, httplib::Response& response) { api.watch(request.matches[1], parseNumber(request.get_param_value("after")), std::chrono::milliseconds(parseNumber(request.get_param_value("wait_ms"))), response); });
    server.Get("/instances", [&](const httplib::Request&, httplib::Response& response) { api.listInstances(response); });
    server.Post("/control", [&](const httplib::Request& request, httplib::Response& response) { api.applyControl(request.body, response); });
    server.Get("/statistics", [&](const httplib::Request&, httplib::Response& response) { api.writeStatistics(response); });
    return server.listen("127.0.0.1", std::atoi(arguments[1])) ? 0 : 1;
}
