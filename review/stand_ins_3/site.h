#pragma once

#include "world.h"

#include <memory>

// A small deployment with the kinds of requests and the figures of the site dhammasiri-kumquat: one service of model engines and one
// plain one, a tenant with one key, and a route of each kind.

namespace world {

inline const std::string host = "site.example";
inline const std::string key = "n2ctnfzs989anu6wsjnb";

inline std::string routeSpec(const std::string& name, const std::string& prefix, const std::string& kind, int timeoutMs, int aimMs, int attempts, const std::string& service, bool isEngine, int pauseMs)
{
    return "{\"Name\":\"" + name + "\",\"Host\":\"" + host + "\",\"PathPrefix\":\"" + prefix + "\",\"Kind\":\"" + kind + "\",\"TimeoutMs\":" + std::to_string(timeoutMs) + ",\"SloMs\":" + std::to_string(aimMs)
        + ",\"Priority\":1,\"Service\":\"" + service + "\",\"MaxAttempts\":" + std::to_string(attempts) + ",\"Anonymous\":false,\"Affinity\":" + (isEngine ? "true" : "false") + ",\"Resumable\":false"
        + (pauseMs > 0 ? ",\"GapTargetMs\":" + std::to_string(pauseMs) : "") + "}";
}

// The figures of the plain routes, which are those of the site dhammasiri-kumquat unless its grown form is played.
struct route_figures {
    int deadlineMs = 1000;
    int aimMs = 100;
};

inline std::string configSpec(const route_figures& plain = {})
{
    return "{\"Version\":7,\"Routes\":["
        + routeSpec("sermon-digest", "/digest/", "streaming", 12000, 2000, 2, "llm", true, 800) + ","
        + routeSpec("passage-qa", "/qa/", "streaming", 6000, 600, 1, "llm", true, 300) + ","
        + routeSpec("donor-receipt", "/receipt/", "non_idempotent", plain.deadlineMs, plain.aimMs, 1, "app", false, 0) + ","
        + routeSpec("archive-lookup", "/lookup/", "idempotent", plain.deadlineMs, plain.aimMs, 2, "app", false, 0)
        + "],\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":64,\"KvCapacity\":438321,\"KvTokenBytes\":18432,\"LinkMbps\":180000.0,"
          "\"Moves\":true,\"Backups\":true,\"Stride\":3,\"most\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"HandleS\":5.0,\"Models\":[{\"Name\":\"m\"}]}},"
          "{\"Name\":\"app\",\"HealthPath\":\"/healthz\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}],"
          "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
          "\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\""
        + key + "\"],\"Priority\":1}]}";
}

inline std::string workerSpec(const std::string& service, int port, int slots, const std::string& version = "v1")
{
    return "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + std::to_string(port) + "\",\"Zone\":\"bkk-a\",\"Version\":\"" + version + "\",\"Slots\":" + std::to_string(slots) + ",\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":4,\"born\":1764900000000}";
}

inline std::string sealOf(const message& request)
{
    const auto id = request.header("x-attempt-id");
    return "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal." + id + "\r\n";
}

// What a sound worker does before it runs a request: it answers questions about itself, and turns away what is meant for another one.
// Returns whether the request has been answered.
inline bool answersWithoutRun(channel& connection, const message& request, const std::string& id)
{
    if (request.target() == "/report")
        return connection.send(answerText(200, "Content-Type: application/json\r\n", "{\"born\":1764900000000}"));
    if (request.target() == "/healthz")
        return connection.send(answerText(200, "X-Instance-Id: " + id + "\r\n", ""));
    const auto expected = request.header("x-expect-instance");
    if (!expected.empty() && expected != id)
        return connection.send(answerText(421, "X-Instance-Id: " + id + "\r\nX-Not-Executed: 1\r\n", ""));
    return false;
}

// Ids of requests, by several threads.
class id_set {
public:
    void add(const std::string& id)
    {
        const std::lock_guard guard(m_mutex);
        m_ids.insert(id);
    }
    bool contains(const std::string& id)
    {
        const std::lock_guard guard(m_mutex);
        return m_ids.contains(id);
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_ids;
};

// A sound worker of the plain service: each request takes a work time between half and one and a half times the mean, and is answered with 800 bytes.
class plain_worker {
public:
    plain_worker(std::string id, int workMs, record& log)
        : m_id(std::move(id))
        , m_server([this, workMs, &log](channel& connection) {
            message request;
            while (connection.receive(request)) {
                if (answersWithoutRun(connection, request, m_id))
                    continue;
                log.line(m_id + " runs " + request.header("x-attempt-id"));
                m_ran.add(request.header("x-attempt-id"));
                sleepMs(workMs / 2 + static_cast<int>(std::hash<std::string> {}(request.header("x-attempt-id")) % static_cast<unsigned>(workMs)));
                if (!connection.send(answerText(200, sealOf(request), std::string(800, 'a'))))
                    return;
            }
        })
    {
    }

    int port() const { return m_server.port(); }
    std::string spec() const { return workerSpec("app", port(), 6); }
    const std::string& id() const { return m_id; }

    bool hasRun(const std::string& request) { return m_ran.contains(request); }

private:
    std::string m_id;
    id_set m_ran;
    server m_server;
};

// The head of a caller's request without the empty line at its end.
inline std::string requestHead(const std::string& method, const std::string& path, const std::string& id, int deadlineMs)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + key + "\r\n";
}

// TROUBLE=0 leaves the disruption out.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace world
