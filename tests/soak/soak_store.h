#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// A store that holds worker records and a configuration whose versions replace each other. Version N has the route /vN/ and
// the keys key-N and key-(N-1), so that callers see by their answers which version a router acts on. By a seed it is slow,
// turns reads away, or forgets its history.
class soak_store {
public:
    using clock = std::chrono::steady_clock;

    struct options {
        int port = 0;
        // The port of the first worker, as its record tells it.
        int workerPort = 0;
        int workers = 0;
        int requestDeadlineMs = 0;
        unsigned seed = 0;
        bool misbehaves = false;
    };

    explicit soak_store(const options& chosen)
        : m_options(chosen)
        , m_random(chosen.seed)
    {
        for (int number = 0; number < chosen.workers; ++number)
            put("servers", "w" + std::to_string(number), workerSpec(number, false));
        publish();
        m_server.new_task_queue = [] { return new httplib::ThreadPool(readerThreads); };
        m_server.Get(R"(/objects/(\w+))", [this](const httplib::Request& request, httplib::Response& response) { serve(request, response); });
        // Without sharing of the port, so that two soaks on the same ports do not read each other's store.
        m_server.set_socket_options([](socket_t socket) {
            const int reuse = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
        });
        if (!m_server.bind_to_port("127.0.0.1", m_options.port)) {
            std::cerr << "the store's port " << m_options.port << " is in use" << std::endl;
            std::exit(2);
        }
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
    }

    ~soak_store()
    {
        m_server.stop();
        m_changed.notify_all();
        m_thread.join();
    }

    // Puts the next version in force and returns it.
    int publish()
    {
        const std::lock_guard lock(m_mutex);
        ++m_version;
        m_publishedAt[m_version] = clock::now();
        putLocked("config", "main", configSpec(m_version));
        return m_version;
    }

    int version()
    {
        const std::lock_guard lock(m_mutex);
        return m_version;
    }

    // How long a version has been in force, or zero if it is not.
    clock::duration age(int version)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_publishedAt.find(version);
        return found == m_publishedAt.end() ? clock::duration {} : clock::now() - found->second;
    }

    void setLeaving(int worker, bool leaving) { put("servers", "w" + std::to_string(worker), workerSpec(worker, leaving)); }

    // Draws how the store treats its readers from now on.
    void drawTrouble()
    {
        const std::lock_guard lock(m_mutex);
        if (!m_options.misbehaves)
            return;
        m_busy = m_random() % 4 == 0;
        m_slow = std::chrono::milliseconds(m_random() % 3 == 0 ? 1 + m_random() % 1200 : 0);
        if (m_random() % 4 == 0)
            m_history.clear();
    }

private:
    using json = nlohmann::json;

    static constexpr int readerThreads = 64;
    static constexpr auto longestWatch = std::chrono::milliseconds(500);

    struct change {
        std::string kind;
        int revision = 0;
        json object;
    };

    json workerSpec(int number, bool leaving) const
    {
        return { { "Service", "app" }, { "Address", "127.0.0.1:" + std::to_string(m_options.workerPort + number) }, { "Zone", "z" }, { "Slots", 16 }, { "State", leaving ? "draining" : "ready" }, { "born", 1 } };
    }

    json configSpec(int version) const
    {
        const auto route = [this](const std::string& prefix, const std::string& kind) -> json {
            return { { "Name", prefix }, { "Host", "h" }, { "PathPrefix", prefix }, { "Kind", kind }, { "TimeoutMs", m_options.requestDeadlineMs }, { "Service", "app" }, { "MaxAttempts", 2 }, { "Resumable", kind == "streaming" } };
        };
        const json routes = json::array({ route("/once/", "non_idempotent"), route("/read/", "idempotent"), route("/stream/", "streaming"), route("/v" + std::to_string(version) + "/", "idempotent") });
        const json tenants = json::array({ { { "Name", "t" }, { "ApiKeys", { "key", "key-" + std::to_string(version), "key-" + std::to_string(version - 1) } } } });
        return { { "Version", version }, { "Routes", routes }, { "Services", json::array({ { { "Name", "app" }, { "MaxConns", 100 } } }) }, { "Tenants", tenants } };
    }

    void put(const std::string& kind, const std::string& name, const json& spec)
    {
        const std::lock_guard lock(m_mutex);
        putLocked(kind, name, spec);
    }

    void putLocked(const std::string& kind, const std::string& name, const json& spec)
    {
        ++m_revision;
        const json object { { "Metadata", { { "Name", name }, { "Revision", m_revision } } }, { "Spec", spec } };
        m_objects[kind][name] = object;
        if (m_history.empty())
            m_oldest = m_revision - 1;
        m_history.push_back({ kind, m_revision, object });
        m_changed.notify_all();
    }

    void serve(const httplib::Request& request, httplib::Response& response)
    {
        std::unique_lock lock(m_mutex);
        const auto slow = m_slow.count() == 0 ? m_slow : std::chrono::milliseconds(m_random() % static_cast<unsigned>(m_slow.count()));
        read(request, response, lock);
        lock.unlock();
        // What was read grows old on the way, and answers overtake each other.
        std::this_thread::sleep_for(slow);
    }

    void read(const httplib::Request& request, httplib::Response& response, std::unique_lock<std::mutex>& lock)
    {
        if (m_busy) {
            response.status = 503;
            return;
        }
        const std::string kind = request.matches[1];
        if (request.has_param("Watch"))
            return watch(kind, std::stoi(request.get_param_value("Watch")), lock, response);
        json items = json::array();
        for (const auto& [name, object] : m_objects[kind])
            items.push_back(object);
        response.set_content(json { { "Items", items }, { "HasMore", false }, { "At", m_revision } }.dump(), "application/json");
    }

    void watch(const std::string& kind, int since, std::unique_lock<std::mutex>& lock, httplib::Response& response)
    {
        json events = json::array();
        const auto collect = [&] {
            for (const auto& item : m_history) {
                if (item.kind == kind && item.revision > since)
                    events.push_back({ { "Deleted", false }, { "Object", item.object } });
            }
            return !events.empty();
        };
        m_changed.wait_for(lock, longestWatch, [&] { return since < m_oldest || (m_history.empty() && since < m_revision) || collect(); });
        if (since < m_oldest || (m_history.empty() && since < m_revision)) {
            response.status = 410;
            return;
        }
        response.set_content(json { { "events", events }, { "At", m_revision } }.dump(), "application/json");
    }

    options m_options;
    std::mt19937 m_random;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, json>> m_objects;
    std::vector<change> m_history;
    // The revision from which the history is whole.
    int m_oldest = 0;
    int m_revision = 0;
    int m_version = 0;
    std::map<int, clock::time_point> m_publishedAt;
    bool m_busy = false;
    std::chrono::milliseconds m_slow { 0 };
    httplib::Server m_server;
    std::thread m_thread;
};
