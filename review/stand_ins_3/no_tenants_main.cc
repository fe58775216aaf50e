// Case 14. The store, one plain worker and a consumer of a small deployment with one tenant. With trouble the operator takes the tenant
// away, and with it the last key; without it, one of the tenant's two keys. Judges what runs afterwards.
//
// usage: no-tenants RECORD STORE_PORT WORKER_PORT HOST:FRONT:READY

#include "stand_in.hpp"

using namespace stand_in;

namespace {

constexpr int revokeMs = 5000;

json config(int version, const json& tenants)
{
    const json route { { "Name", "gate-pass" }, { "Host", "h.example" }, { "PathPrefix", "/pass/" }, { "Kind", "non_idempotent" }, { "TimeoutMs", 1500 }, { "SloMs", 300 }, { "Priority", 2 }, { "MaxAttempts", 2 }, { "Service", "app" }, { "Anonymous", false } };
    return { { "Version", version }, { "Routes", { route } }, { "Services", { { { "Name", "app" }, { "HealthPath", "/healthz" }, { "MaxConns", 100 } } } }, { "Tenants", tenants }, { "Limits", limits() } };
}

json tenant(const json& keys) { return { { "Name", "hule930" }, { "ApiKeys", keys }, { "Priority", 1 } }; }

class worker {
public:
    worker(record& notes, int port)
        : m_notes(notes)
        , m_server("127.0.0.1", port, [this](int socket) { serve(socket); })
    {
        m_server.start();
    }

    bool hasRun(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        return m_ids.contains(id);
    }

private:
    void serve(int socket)
    {
        reader input(socket);
        while (const auto head = input.readHead()) {
            if (!input.readBytes(static_cast<std::size_t>(std::atoi(head->value("content-length").c_str()))))
                return;
            const auto id = head->value("x-attempt-id");
            const auto organisation = head->value("x-tenant-id");
            m_notes.write("the worker runs " + id + ", X-Tenant-Id: " + (organisation.empty() ? "none" : organisation));
            {
                const std::lock_guard lock(m_mutex);
                m_ids.insert(id);
            }
            if (!sendAll(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Length: 2\r\n\r\nok"))
                return;
        }
    }

    record& m_notes;
    std::mutex m_mutex;
    std::set<std::string> m_ids;
    server m_server;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 5)
        return exitNotRun;
    record notes(arguments[1]);
    std::istringstream address(arguments[4]);
    std::string host;
    std::string front;
    std::string ready;
    std::getline(address, host, ':');
    std::getline(address, front, ':');
    std::getline(address, ready, ':');
    const auto ask = [&](const std::string& id, const std::string& key) {
        const int socket = connectTo(host, std::atoi(front.c_str()));
        sendAll(socket, "POST /pass/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nAuthorization: Bearer " + key + "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\nhi");
        reader input(socket);
        const auto head = input.readHead();
        ::close(socket);
        const int status = head ? head->status() : 0;
        notes.write(id + " with " + key + " is answered " + std::to_string(status));
        return status;
    };

    store platform("127.0.0.1", std::atoi(arguments[2]));
    worker app(notes, std::atoi(arguments[3]));
    platform.put("servers", "w0", serverEntry("app", std::atoi(arguments[3]), "ready", "v1", 1000, 6));
    platform.put("config", "main", config(1, json::array({ tenant(json::array({ "key-one", "key-two" })) })));
    platform.start();
    if (!awaitReady(host, std::atoi(ready.c_str()), 15)) {
        notes.write("the router is not ready");
        finish(exitNotRun);
    }
    const bool isSound = ask("before-1", "key-one") == 200 && ask("before-2", "key-two") == 200 && ask("before-3", "key-that-never-was") == 401;
    if (!isSound) {
        notes.write("the keys are not checked before the change, so that nothing was judged");
        finish(exitNotRun);
    }
    const auto tenants = hasTrouble() ? json::array() : json::array({ tenant(json::array({ "key-two" })) });
    platform.put("config", "main", config(2, tenants));
    notes.write("the store has accepted version 2, with \"Tenants\": " + tenants.dump());
    sleepMs(revokeMs + 1000);
    ask("revoked", "key-one");
    ask("unknown", "key-that-never-was");
    const bool revokedHasRun = app.hasRun("revoked");
    const bool unknownHasRun = app.hasRun("unknown");
    notes.write(std::string("a request with the revoked key has run: ") + (revokedHasRun ? "yes" : "no"));
    notes.write(std::string("a request whose key no configuration ever held has run: ") + (unknownHasRun ? "yes" : "no"));
    finish(revokedHasRun || unknownHasRun ? exitBroken : exitHeld);
}
