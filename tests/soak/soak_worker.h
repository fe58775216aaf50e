#pragma once

#include "tests/soak/soak_rate_limit.h"
#include "tests/soak/soak_record.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

// Number of events in a complete stream.
inline constexpr int soakEventCount = 8;
// The part of a prompt that crashes workers.
inline constexpr auto soakBadPart = "bad0:";
// The body of the request that crashes workers and is repeated.
inline constexpr auto soakCrashingBody = "crash";

// The complete answer to a request depends only on its id, so that callers can check every byte.
inline std::string soakBody(const std::string& id)
{
    return "answer to " + id + std::string(200, '.');
}

inline std::string soakEvent(const std::string& id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
}

// A worker that records every request it executes. With injectsFaults it refuses requests and truncates answers, determined
// by the seed. Some answers are slow even without injectsFaults.
class soak_worker {
public:
    struct options {
        int number = 0;
        int port = 0;
        unsigned seed = 0;
        bool injectsFaults = false;
        // Called with its start when the worker has crashed and started again.
        std::function<void(int start)> onRestart = [](int) {};
        // Called with the id of a request that arrives later than expected. Without it, that violates a guarantee.
        std::function<void(const std::string&)> onLateRequest;
        // Whether routers that send requests during a pause that the worker asked for violate a guarantee.
        bool checksPauses = false;
        // Whether the worker names limits, and routers that exceed them violate a guarantee.
        bool namesLimits = false;
        // Whether events tell the version of the worker, and follow each other slowly enough for faults to hit streams.
        bool marksVersions = false;
        int version = 0;
    };

    soak_worker(const options& workerOptions, soak_record& record)
        : m_id("w" + std::to_string(workerOptions.number))
        , m_port(workerOptions.port)
        , m_onRestart(workerOptions.onRestart)
        , m_onLateRequest(workerOptions.onLateRequest)
        , m_injectsFaults(workerOptions.injectsFaults)
        , m_checksPauses(workerOptions.checksPauses)
        , m_namesLimits(workerOptions.namesLimits)
        , m_marksVersions(workerOptions.marksVersions)
        , m_version(workerOptions.version)
        , m_limit(workerOptions.seed)
        , m_record(record)
        , m_random(workerOptions.seed)
    {
        open();
        m_supervisor = std::thread([this] { superviseCrashes(); });
    }

    ~soak_worker()
    {
        m_ending = true;
        m_supervisor.join();
        close();
    }

    // The worker stands for its own successor from now on. Returns the start that it states.
    int startAgain() { return ++m_start; }

    // Breaks off what runs here. The worker starts again under its id, with this version.
    void crash(int version)
    {
        m_nextVersion = version;
        m_crashed = true;
    }

    // A request that arrives after this time is recorded as a violation; nothing means that all requests are expected.
    void expectNoRequestsAfter(std::optional<std::chrono::steady_clock::time_point> time)
    {
        const std::lock_guard lock(m_mutex);
        m_noRequestsAfter = time;
    }

    // While set, each answer states that the worker is leaving. A request that arrives later than the grace time after the
    // first such answer is recorded as a violation. Once it is no longer leaving, the worker stands for its own successor, which
    // has asked for no pause.
    void setLeaving(bool isLeaving, std::chrono::milliseconds grace)
    {
        const std::lock_guard lock(m_mutex);
        m_isLeaving = isLeaving;
        m_leavingGrace = grace;
        m_noRequestsAfter.reset();
        m_pauses.clear();
        m_limit.forget();
    }

private:
    struct requested_pause {
        std::chrono::steady_clock::time_point from;
        std::chrono::steady_clock::time_point until;
        int requests = 0;
    };

    // A router may need this long to act on a pause, and may send this many requests during the rest of it.
    static constexpr auto pauseReactionTime = std::chrono::milliseconds(500);
    static constexpr int maxRequestsInPause = 2;
    static constexpr int listenBacklog = 128;
    // A millisecond apart.
    static constexpr int maxStartTries = 2000;
    static constexpr auto restartTime = std::chrono::milliseconds(1500);

    void open()
    {
        m_server = std::make_unique<httplib::Server>();
        m_server->new_task_queue = [] { return new httplib::ThreadPool(64); };
        const auto handler = [this](const httplib::Request& request, httplib::Response& response) { serve(request, response); };
        m_server->Get(".*", handler);
        m_server->Post(".*", handler);
        int listener = -1;
        m_server->set_socket_options([&listener](socket_t socket) {
            listener = socket;
            const int reuse = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
        });
        m_server->bind_to_port("127.0.0.1", m_port);
        // The library's backlog of 5 overflows in a burst of connections, and the kernel then repeats an opening after a second: a
        // request that was sent before a pause would arrive during it.
        ::listen(listener, listenBacklog);
        m_thread = std::thread([this] { m_server->listen_after_bind(); });
        // Before the server runs, stop() has no effect.
        for (int tries = 0; tries < maxStartTries && !m_server->is_running(); ++tries)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    void close()
    {
        m_server->stop();
        m_thread.join();
    }

    // Closes the worker's port and starts it again after a time, whenever a request has crashed it.
    void superviseCrashes()
    {
        while (!m_ending) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
            if (!m_crashed)
                continue;
            close();
            std::this_thread::sleep_for(restartTime);
            if (m_marksVersions)
                m_version = m_nextVersion.load();
            const int start = startAgain();
            m_crashed = false;
            open();
            m_onRestart(start);
        }
    }

    void stateLeaving(httplib::Response& response)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isLeaving)
            return;
        response.set_header("Server-Leaving", "1");
        if (!m_noRequestsAfter)
            m_noRequestsAfter = std::chrono::steady_clock::now() + m_leavingGrace;
    }

    void checkPause(const std::string& id)
    {
        const int router = m_record.routerOf(id);
        const std::lock_guard lock(m_mutex);
        auto& pause = m_pauses[router];
        const auto now = std::chrono::steady_clock::now();
        const bool isPaused = now > pause.from && now < pause.until;
        if (m_checksPauses && router != 0 && isPaused && ++pause.requests > maxRequestsInPause)
            m_record.recordViolation("a paused upstream received", id);
    }

    void checkLimit(const std::string& id)
    {
        const int router = m_record.routerOf(id);
        const std::lock_guard lock(m_mutex);
        if (m_namesLimits && m_limit.recordArrival(router, std::chrono::steady_clock::now()))
            m_record.recordViolation("more arrived than an upstream's limit allows,", id);
    }

    void nameLimit(const std::string& id, httplib::Response& response)
    {
        const int router = m_record.routerOf(id);
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        const auto limit = m_namesLimits ? m_limit.current(now) : std::nullopt;
        if (!limit)
            return;
        response.set_header("Server-Limit", std::to_string(*limit));
        m_limit.recordStatement(router, now);
    }

    // Asks the router that sent the request for a pause.
    void requestPause(const std::string& id, httplib::Response& response)
    {
        const int milliseconds = 600 + randomBelow(1400);
        response.set_header("Retry-After", std::to_string(milliseconds / 1000) + "." + std::to_string(milliseconds % 1000 / 100));
        const int router = m_record.routerOf(id);
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        m_pauses[router] = { now + pauseReactionTime, now + std::chrono::milliseconds(milliseconds / 100 * 100), 0 };
    }

    int randomBelow(int bound)
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<int>(m_random() % static_cast<unsigned>(bound));
    }

    bool shouldFail(int oneIn) { return randomBelow(oneIn) == 0 && m_injectsFaults; }

    bool isRequestUnexpected()
    {
        const std::lock_guard lock(m_mutex);
        return m_noRequestsAfter && std::chrono::steady_clock::now() > *m_noRequestsAfter;
    }

    void recordLateRequest(const std::string& id)
    {
        if (m_onLateRequest)
            return m_onLateRequest(id);
        m_record.recordViolation("a draining upstream received", id);
    }

    void serve(const httplib::Request& request, httplib::Response& response)
    {
        if (request.path == "/report")
            return response.set_content("{\"born\":" + std::to_string(m_start) + "}", "application/json");
        const auto id = request.get_header_value("X-Attempt-Id");
        response.set_header("X-Attempt-Id", id);
        if (request.get_header_value("X-Expect-Instance") != m_id) {
            response.status = 421;
            return;
        }
        if (isRequestUnexpected())
            recordLateRequest(id);
        stateLeaving(response);
        checkPause(id);
        checkLimit(id);
        if (!m_marksVersions && shouldFail(10)) {
            nameLimit(id, response);
            response.status = 503;
            response.set_header("X-Not-Executed", "1");
            if (randomBelow(4) == 0)
                requestPause(id, response);
            return;
        }
        m_record.recordExecution(id);
        const bool isStream = request.path.starts_with("/stream/");
        if (!isStream)
            m_record.recordRun(id);
        if (request.get_header_value("X-Prompt-Prefix").find(soakBadPart) != std::string::npos) {
            m_record.recordBadArrival(id);
            m_crashed = true;
        }
        if (request.body == soakCrashingBody)
            m_record.recordRepeat(id, !m_crashed.exchange(true));
        std::this_thread::sleep_for(std::chrono::milliseconds(randomBelow(20) == 0 ? 400 : randomBelow(20)));
        nameLimit(id, response);
        response.set_header("X-Response-Seal", "seal-" + id);
        const bool isTruncated = m_crashed || shouldFail(12);
        if (isStream)
            return stream(request, response, id, isTruncated ? randomBelow(soakEventCount) : soakEventCount);
        const auto body = soakBody(id);
        response.set_content_provider(body.size(), "text/plain", [body, isTruncated](std::size_t offset, std::size_t length, httplib::DataSink& sink) {
            sink.write(body.data() + offset, isTruncated ? length / 2 : length);
            return !isTruncated;
        });
    }

    void stream(const httplib::Request& request, httplib::Response& response, const std::string& id, int completeEvents)
    {
        const int firstNumber = request.has_header("Last-Event-Id") ? std::atoi(request.get_header_value("Last-Event-Id").c_str()) + 1 : 1;
        const auto text = m_marksVersions ? "v" + std::to_string(m_version) : id;
        const auto interval = std::chrono::milliseconds(m_marksVersions ? 30 : 3);
        response.set_chunked_content_provider("text/event-stream", [this, id, text, interval, firstNumber, completeEvents](std::size_t, httplib::DataSink& sink) {
            for (int number = firstNumber; number <= soakEventCount; ++number) {
                const auto event = soakEvent(text, number);
                if (number > completeEvents || m_crashed) {
                    sink.write(event.data(), event.size() / 2);
                    return false;
                }
                if (!sink.write(event.data(), event.size()))
                    return false;
                if (number == firstNumber)
                    m_record.recordRun(id);
                std::this_thread::sleep_for(interval);
            }
            sink.done();
            return true;
        });
    }

    std::string m_id;
    int m_port;
    std::function<void(int start)> m_onRestart;
    std::function<void(const std::string&)> m_onLateRequest;
    bool m_injectsFaults;
    bool m_checksPauses;
    bool m_namesLimits;
    bool m_marksVersions;
    std::atomic<int> m_version;
    std::atomic<int> m_nextVersion { 0 };
    // The start that the worker states, as in its record.
    std::atomic<int> m_start { 1 };
    soak_rate_limit m_limit;
    bool m_isLeaving = false;
    std::chrono::milliseconds m_leavingGrace { 0 };
    // By the port of the router.
    std::map<int, requested_pause> m_pauses;
    soak_record& m_record;
    std::mutex m_mutex;
    std::mt19937 m_random;
    std::optional<std::chrono::steady_clock::time_point> m_noRequestsAfter;
    std::unique_ptr<httplib::Server> m_server;
    std::thread m_thread;
    std::thread m_supervisor;
    std::atomic<bool> m_crashed { false };
    std::atomic<bool> m_ending { false };
};
