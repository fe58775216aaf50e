#pragma once

#include "tests/soak/soak_duty_write.h"
#include "tests/soak/soak_record.h"
#include "tests/soak/soak_usage_call.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Stands in for the platform's store: it contains the worker records and a configuration that is published in successive
// versions. Version N has the route /vN/ and the keys key-N and key-(N-1), so that answers show which version a router has in
// force. With injectsFaults it delays or refuses reads or discards its watch history, determined by the seed. It can be
// restored from an older copy of itself.
class soak_store {
public:
    using clock = std::chrono::steady_clock;

    struct options {
        int port = 0;
        // Port of the first worker in its record. The records of the others contain the following ports.
        int workerPort = 0;
        int workers = 0;
        int requestDeadlineMs = 0;
        unsigned seed = 0;
        bool injectsFaults = false;
        // Some writes of the duty record are executed late, after the router has given up waiting for the answer.
        bool delaysDutyWrites = false;
        // Watches wait as long as they ask for, or else for half a second at most.
        bool allowsLongWatches = false;
        // The time that one report of usage covers. With 0 there is no duty record at first.
        std::chrono::seconds usageWindow { 0 };
    };

    explicit soak_store(const options& storeOptions)
        : m_options(storeOptions)
        , m_random(storeOptions.seed)
        , m_dutyRandom(storeOptions.seed + 1)
    {
        for (int number = 0; number < storeOptions.workers; ++number)
            setDraining(number, false);
        if (m_options.usageWindow > std::chrono::seconds(0))
            putLocked(dutyKind, dutyName, firstDutyRecord(m_options.usageWindow));
        publish();
        m_server.new_task_queue = [] { return new httplib::ThreadPool(serverThreads); };
        m_server.Get(R"(/objects/([\w-]+))", [this](const httplib::Request& request, httplib::Response& response) { serve(request, response); });
        const auto write = [this](const httplib::Request& request, httplib::Response& response) { response.status = serveWrite(request); };
        m_server.Post(R"(/objects/(refused-suspects))", write);
        m_server.Put(R"(/objects/(refused-suspects)/([\w-]+))", write);
        m_server.Delete(R"(/objects/(refused-suspects)/([\w-]+))", write);
        m_server.Get("/objects/duties/usage", [this](const httplib::Request&, httplib::Response& response) { readDutyRecord(response); });
        const auto writeDuties = [this](const httplib::Request& request, httplib::Response& response) { serveDutyWrite(request, response); };
        m_server.Post("/objects/duties", writeDuties);
        m_server.Put("/objects/duties/usage", writeDuties);
        // Without SO_REUSEPORT, which httplib sets by default: two soaks on the same ports would read each other's store.
        m_server.set_socket_options([](socket_t socket) {
            const int reuse = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
        });
        if (!m_server.bind_to_port("127.0.0.1", m_options.port)) {
            std::cerr << "the store cannot listen at port " << m_options.port << ": it is in use" << std::endl;
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

    // Publishes the next version of the configuration and returns its number.
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

    // Returns the time since the version was published, or zero if it has not been published.
    clock::duration timeSincePublication(int version)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_publishedAt.find(version);
        return found == m_publishedAt.end() ? clock::duration {} : clock::now() - found->second;
    }

    // Writes a worker's record.
    void setDraining(int worker, bool isDraining)
    {
        const std::lock_guard lock(m_mutex);
        m_workers[worker].isDraining = isDraining;
        putLocked("servers", "w" + std::to_string(worker), workerSpec(worker));
    }

    // Removes a worker's record.
    void removeRecord(int worker)
    {
        const std::lock_guard lock(m_mutex);
        const auto name = "w" + std::to_string(worker);
        m_objects["servers"].erase(name);
        recordChange("servers", { { "Metadata", { { "Name", name }, { "Revision", ++m_revision } } } }, true);
    }

    // Writes a worker's record with another number of slots.
    void changeSlots(int worker)
    {
        const std::lock_guard lock(m_mutex);
        ++m_workers[worker].slots;
        putLocked("servers", "w" + std::to_string(worker), workerSpec(worker));
    }

    // Waits until a router has written the duty record, or for this time.
    void waitForDutyWrite(std::chrono::milliseconds longest)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, longest, [this, written = m_dutyWrites.size()] { return m_dutyWrites.size() > written; });
    }

    // Sets the version in a worker's record, as before its first start.
    void setVersion(int worker, int version)
    {
        const std::lock_guard lock(m_mutex);
        m_workers[worker].version = version;
        putLocked("servers", "w" + std::to_string(worker), workerSpec(worker));
    }

    // Writes the record of a worker that has restarted, with the start that it states, and with another version if one is given.
    void restart(int worker, int start, std::optional<int> version = {})
    {
        const std::lock_guard lock(m_mutex);
        m_workers[worker].start = start;
        m_workers[worker].isDraining = false;
        m_workers[worker].version = version.value_or(m_workers[worker].version);
        putLocked("servers", "w" + std::to_string(worker), workerSpec(worker));
    }

    // Replaces the state by the newest copy that is older than minCopyAge. Returns false if there is none yet.
    bool restore()
    {
        const std::lock_guard lock(m_mutex);
        const auto isOldEnough = [](const copy& item) { return clock::now() - item.madeAt > minCopyAge; };
        const auto newest = std::find_if(m_copies.rbegin(), m_copies.rend(), isOldEnough);
        if (newest == m_copies.rend())
            return false;
        m_objects = newest->objects;
        m_revision = newest->revision;
        ++m_era;
        m_history.clear();
        m_historyStart = m_revision;
        m_changed.notify_all();
        return true;
    }

    // The operator and the workers write again what a restore may have lost.
    void rewrite()
    {
        const std::lock_guard lock(m_mutex);
        putLocked("config", "main", configSpec(m_version));
        for (int number = 0; number < m_options.workers; ++number)
            putLocked("servers", "w" + std::to_string(number), workerSpec(number));
    }

    // Randomly selects whether the store refuses and delays reads until the next call, and whether it discards its history.
    void injectFaults()
    {
        const std::lock_guard lock(m_mutex);
        if (!m_options.injectsFaults)
            return;
        m_refusesReads = m_random() % 4 == 0;
        m_maxResponseDelay = std::chrono::milliseconds(m_random() % 3 == 0 ? 1 + m_random() % 1200 : 0);
        if (m_random() % 4 == 0)
            m_history.clear();
    }

    // From now on calls are neither refused nor delayed.
    void endFaults()
    {
        const std::lock_guard lock(m_mutex);
        m_options.injectsFaults = false;
        m_options.delaysDutyWrites = false;
        m_refusesReads = false;
        m_rejectedUntil = {};
        m_maxResponseDelay = std::chrono::milliseconds(0);
        m_changed.notify_all();
    }

    // Refuses the writes of the duty record with this token for a time.
    void rejectHolder(std::uint64_t token, std::chrono::milliseconds span)
    {
        const std::lock_guard lock(m_mutex);
        m_rejectedToken = token;
        m_rejectedUntil = clock::now() + span;
    }

    // The writes of the duty record that took effect.
    std::vector<soak_duty_write> dutyWrites()
    {
        const std::lock_guard lock(m_mutex);
        return m_dutyWrites;
    }

    // The report that the first duty record has decided.
    const soak_usage_call& firstReport() const { return m_firstReport; }

private:
    using json = nlohmann::json;

    static constexpr auto dutyKind = "duties";
    static constexpr auto dutyName = "usage";
    // A token is the era times 2 to this power, and a number.
    static constexpr int eraShift = 20;

    static constexpr int serverThreads = 64;
    static constexpr auto maxWatchDuration = std::chrono::milliseconds(500);
    static constexpr auto maxLongWatchDuration = std::chrono::milliseconds(30000);

    // As late as the platform's store executes a write that it has not answered.
    static constexpr auto maxWriteDelay = std::chrono::milliseconds(6000);
    static constexpr unsigned delayedWriteOneIn = 12;

    static constexpr auto minCopyAge = std::chrono::seconds(5);
    static constexpr auto maxCopyAge = std::chrono::seconds(9);

    struct worker_state {
        bool isDraining = false;
        int start = 1;
        int version = 1;
        int slots = 16;
    };

    struct copy {
        clock::time_point madeAt;
        int revision = 0;
        std::map<std::string, std::map<std::string, json>> objects;
    };

    struct change {
        std::string kind;
        int revision = 0;
        json object;
        bool isRemoval = false;
    };

    json workerSpec(int number)
    {
        const auto& [isDraining, start, version, slots] = m_workers[number];
        return { { "Service", "app" }, { "Address", "127.0.0.1:" + std::to_string(m_options.workerPort + number) }, { "Zone", "z" }, { "Version", "v" + std::to_string(version) }, { "Slots", slots }, { "State", isDraining ? "draining" : "ready" }, { "born", start } };
    }

    json configSpec(int version) const
    {
        const auto route = [this](const std::string& prefix, const std::string& kind) -> json {
            return { { "Name", prefix }, { "Host", "h" }, { "PathPrefix", prefix }, { "Kind", kind }, { "TimeoutMs", m_options.requestDeadlineMs }, { "Service", "app" }, { "MaxAttempts", 2 }, { "Resumable", kind == "streaming" } };
        };
        const json routes = json::array({ route("/once/", "non_idempotent"), route("/read/", "idempotent"), route("/stream/", "streaming"), route("/v" + std::to_string(version) + "/", "idempotent") });
        const json tenants = json::array({ { { "Name", soakOrganisation }, { "ApiKeys", { "key", "key-" + std::to_string(version), "key-" + std::to_string(version - 1) } } }, { { "Name", soakOtherOrganisation }, { "ApiKeys", json::array({ "other-key" }) } } });
        return { { "Version", version }, { "Routes", routes }, { "Services", json::array({ { { "Name", "app" }, { "MaxConns", 100 }, { "Engine", { { "Slots", 16 }, { "KvCapacity", 100000 }, { "Stride", 1 } } } } }) }, { "Tenants", tenants } };
    }

    // A write that changes nothing gives out no revision.
    void putLocked(const std::string& kind, const std::string& name, const json& spec)
    {
        const auto found = m_objects[kind].find(name);
        if (found != m_objects[kind].end() && found->second["Spec"] == spec)
            return;
        ++m_revision;
        const json object { { "Metadata", { { "Name", name }, { "Revision", m_revision } } }, { "Spec", spec } };
        m_objects[kind][name] = object;
        recordChange(kind, object, false);
    }

    // Adds the change of the present revision to the history, and keeps a copy of all objects.
    void recordChange(const std::string& kind, const json& object, bool isRemoval)
    {
        if (m_history.empty())
            m_historyStart = m_revision - 1;
        m_history.push_back({ kind, m_revision, object, isRemoval });
        const auto now = clock::now();
        m_copies.push_back({ now, m_revision, m_objects });
        std::erase_if(m_copies, [now](const copy& item) { return now - item.madeAt > maxCopyAge; });
        m_changed.notify_all();
    }

    // Creates, replaces or removes an object of the routers. Returns the status of the answer.
    int serveWrite(const httplib::Request& request)
    {
        const std::lock_guard lock(m_mutex);
        if (m_refusesReads)
            return 503;
        const std::string kind = request.matches[1];
        if (request.method == "DELETE")
            return m_objects[kind].erase(request.matches[2]) > 0 ? 200 : 404;
        const auto object = json::parse(request.body);
        const std::string name = object["Metadata"]["Name"];
        const bool exists = m_objects[kind].contains(name);
        if (exists != (request.method == "PUT"))
            return exists ? 409 : 404;
        putLocked(kind, name, object["Spec"]);
        return 200;
    }

    std::chrono::milliseconds drawResponseDelay(std::mt19937& random) const
    {
        return m_maxResponseDelay.count() == 0 ? m_maxResponseDelay : std::chrono::milliseconds(random() % static_cast<unsigned>(m_maxResponseDelay.count()));
    }

    // The record of a holder that has given up its lease, with a decided window that it has not marked as delivered. Without it, routers
    // would wait for more than 6 s before the first report, as after a restore that has lost the record.
    json firstDutyRecord(std::chrono::seconds window)
    {
        const auto current = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / window);
        m_firstReport = { .process = "earlier", .holder = "earlier-router", .token = (static_cast<std::uint64_t>(m_era) << eraShift) + 1, .window = current - 1, .counts = { { soakOrganisation, 1 } } };
        const json windows = json::array({ { { "Window", m_firstReport.window }, { "Counts", m_firstReport.counts }, { "Delivered", false } } });
        return { { "Token", m_firstReport.token }, { "Holder", m_firstReport.holder }, { "Incarnation", 1 }, { "WriteId", 1 }, { "Era", m_era }, { "Released", true }, { "EarlierHolders", json::array() }, { "Windows", windows }, { "FirstUndecided", current } };
    }

    // Answers a call of the duties with this status and object, once the present delay has passed.
    void answerDuties(std::unique_lock<std::mutex>& lock, httplib::Response& response, int status, const json& object)
    {
        response.status = status;
        response.set_header("Store-Era", std::to_string(m_era));
        if (!object.is_null())
            response.set_content(object.dump(), "application/json");
        const auto delay = drawResponseDelay(m_dutyRandom);
        lock.unlock();
        std::this_thread::sleep_for(delay);
    }

    // The duty record, or null.
    json dutyRecord() const
    {
        const auto duties = m_objects.find(dutyKind);
        return duties == m_objects.end() || !duties->second.contains(dutyName) ? json() : duties->second.at(dutyName);
    }

    void readDutyRecord(httplib::Response& response)
    {
        std::unique_lock lock(m_mutex);
        if (m_refusesReads)
            return answerDuties(lock, response, 503, {});
        const auto object = dutyRecord();
        answerDuties(lock, response, object.is_null() ? 404 : 200, object);
    }

    // Creates or replaces the duty record, if it has not been changed since the revision that the router names.
    void serveDutyWrite(const httplib::Request& request, httplib::Response& response)
    {
        std::unique_lock lock(m_mutex);
        if (m_refusesReads)
            return answerDuties(lock, response, 503, {});
        const auto written = json::parse(request.body);
        if (clock::now() < m_rejectedUntil && written["Spec"]["Token"] == m_rejectedToken)
            return answerDuties(lock, response, 503, {});
        if (m_options.delaysDutyWrites && m_dutyRandom() % delayedWriteOneIn == 0) {
            const auto executedAt = clock::now() + std::chrono::milliseconds(m_dutyRandom() % static_cast<unsigned>(maxWriteDelay.count()));
            m_changed.wait_until(lock, executedAt, [this] { return !m_options.delaysDutyWrites; });
        }
        const auto stored = dutyRecord();
        const bool isCreation = request.method == "POST";
        if (stored.is_null() && !isCreation)
            return answerDuties(lock, response, 404, {});
        if (!stored.is_null() && (isCreation || written["Metadata"]["Revision"] != stored["Metadata"]["Revision"]))
            return answerDuties(lock, response, 409, stored);
        putLocked(dutyKind, dutyName, written["Spec"]);
        m_dutyWrites.push_back({ std::chrono::system_clock::now(), written["Spec"]["Token"].get<std::uint64_t>(), written["Spec"]["Released"].get<bool>() });
        answerDuties(lock, response, isCreation ? 201 : 200, dutyRecord());
    }

    void serve(const httplib::Request& request, httplib::Response& response)
    {
        std::unique_lock lock(m_mutex);
        const auto responseDelay = drawResponseDelay(m_random);
        response.set_header("Store-Era", std::to_string(m_era));
        read(request, response, lock);
        lock.unlock();
        // The delay follows the read, so that answers are out of date when they arrive and may arrive out of order.
        std::this_thread::sleep_for(responseDelay);
    }

    void read(const httplib::Request& request, httplib::Response& response, std::unique_lock<std::mutex>& lock)
    {
        if (m_refusesReads) {
            response.status = 503;
            return;
        }
        const std::string kind = request.matches[1];
        if (request.has_param("Watch"))
            return watch(kind, std::stoi(request.get_param_value("Watch")), watchDuration(request), lock, response);
        json items = json::array();
        for (const auto& [name, object] : m_objects[kind])
            items.push_back(object);
        response.set_content(json { { "Items", items }, { "HasMore", false }, { "At", m_revision } }.dump(), "application/json");
    }

    std::chrono::milliseconds watchDuration(const httplib::Request& request) const
    {
        const auto asked = std::chrono::milliseconds(std::atoi(request.get_param_value("WaitMs").c_str()));
        return std::min<std::chrono::milliseconds>(asked, m_options.allowsLongWatches ? maxLongWatchDuration : maxWatchDuration);
    }

    void watch(const std::string& kind, int afterRevision, std::chrono::milliseconds longest, std::unique_lock<std::mutex>& lock, httplib::Response& response)
    {
        json events = json::array();
        const int eraAtStart = m_era;
        const auto isLost = [&] { return m_era != eraAtStart || afterRevision < m_historyStart || afterRevision > m_revision || (m_history.empty() && afterRevision < m_revision); };
        const auto collect = [&] {
            for (const auto& item : m_history) {
                if (item.kind == kind && item.revision > afterRevision)
                    events.push_back({ { "Deleted", item.isRemoval }, { "Object", item.object } });
            }
            return !events.empty();
        };
        m_changed.wait_for(lock, longest, [&] { return isLost() || collect(); });
        if (isLost()) {
            response.status = 410;
            return;
        }
        response.set_content(json { { "events", events }, { "At", m_revision } }.dump(), "application/json");
    }

    options m_options;
    std::mt19937 m_random;
    // Separate, so that the calls of the duties don't change the faults of the others.
    std::mt19937 m_dutyRandom;
    std::vector<soak_duty_write> m_dutyWrites;
    std::uint64_t m_rejectedToken = 0;
    clock::time_point m_rejectedUntil;
    soak_usage_call m_firstReport;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, json>> m_objects;
    std::vector<change> m_history;
    // The history contains every change after this revision.
    int m_historyStart = 0;
    int m_revision = 0;
    // Rises with each restore.
    int m_era = 1;
    std::vector<copy> m_copies;
    std::map<int, worker_state> m_workers;
    int m_version = 0;
    std::map<int, clock::time_point> m_publishedAt;
    bool m_refusesReads = false;
    std::chrono::milliseconds m_maxResponseDelay { 0 };
    httplib::Server m_server;
    std::thread m_thread;
};
