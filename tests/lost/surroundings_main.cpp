// Stands in for the store and the workers of one deployment. The store publishes another version of the configuration when it is asked
// to. Engines have slots, a queue, memory for prompts and one prefill at a time, so that requests wait in them under load; they break
// nothing off. A line is noted of each request that reaches a worker.

#include "tests/lost/lost_channel.h"
#include "tests/lost/lost_site.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/experimental/awaitable_operators.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

namespace {

using asio::ip::tcp;
using nlohmann::json;
using steady = std::chrono::steady_clock;
using namespace asio::experimental::awaitable_operators;

steady::duration fromMs(double milliseconds) { return std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000)); }

// What a worker notes of one request. Times are 0 for what has not happened.
struct work_note {
    std::string id;
    std::int64_t arrivedAt = 0;
    std::int64_t admittedAt = 0;
    std::int64_t begunAt = 0;
    std::string outcome = "caller_closed";
};

// The share of a stream's events after which an engine is silent for up to 6 s.
constexpr double silenceShare = 0.0005;

class lost_worker {
public:
    lost_worker(asio::io_context& context, const lost_site& site, int number, int port, unsigned seed, std::ofstream& notes)
        : m_site(site)
        , m_id("w" + std::to_string(number))
        , m_isEngine(site.isEngine(number))
        , m_speed(site.speeds[static_cast<std::size_t>(number) % site.speeds.size()])
        , m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)))
        , m_random(seed + static_cast<unsigned>(number))
        , m_notes(notes)
    {
        m_acceptor.listen(512);
        asio::co_spawn(context, accept(), asio::detached);
    }

private:
    struct waiting_request {
        int priority = 0;
        std::int64_t tokens = 0;
        bool isAdmitted = false;
        asio::steady_timer timer;
    };

    // Holds a slot and memory until the request ends, however it ends.
    class place {
    public:
        place(lost_worker& worker, std::list<waiting_request>::iterator request)
            : m_worker(worker)
            , m_request(request)
        {
        }
        place(const place&) = delete;
        place& operator=(const place&) = delete;
        ~place()
        {
            if (m_request->isAdmitted) {
                --m_worker.m_running;
                m_worker.m_usedTokens -= m_request->tokens;
            } else {
                --m_worker.m_waiting;
            }
            m_worker.m_requests.erase(m_request);
            m_worker.admit();
        }

    private:
        lost_worker& m_worker;
        std::list<waiting_request>::iterator m_request;
    };

    int slots() const { return m_isEngine ? m_site.engineSlots : appSlots; }
    int maxWaiting() const { return m_isEngine ? m_site.engineQueue : appQueue; }

    asio::awaitable<void> accept()
    {
        while (true) {
            auto [failure, socket] = co_await m_acceptor.async_accept(lostAwait);
            if (failure)
                continue;
            socket.set_option(tcp::no_delay(true));
            const bool isFull = m_connections >= (m_isEngine ? m_site.engineConnections : appConnections);
            if (!isFull)
                asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
            else
                socket.set_option(asio::socket_base::linger(true, 0));
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        ++m_connections;
        lost_channel channel(std::move(socket));
        bool isOpen = true;
        while (isOpen) {
            const auto head = co_await channel.readHead();
            if (!head || !co_await channel.readBody(*head))
                break;
            work_note note { .id = head->value("X-Attempt-Id"), .arrivedAt = unixMicroseconds() };
            const auto result = co_await (answer(channel, *head, note) || watchClose(channel));
            isOpen = result.index() == 0 && std::get<0>(result);
            if (!note.id.empty())
                m_notes << note.id << ' ' << m_id << ' ' << note.arrivedAt << ' ' << note.admittedAt << ' ' << note.begunAt << ' ' << unixMicroseconds() << ' ' << note.outcome << std::endl;
        }
        --m_connections;
    }

    // Returns when the caller has closed the channel.
    static asio::awaitable<void> watchClose(lost_channel& channel)
    {
        const auto [failure] = co_await channel.socket().async_wait(tcp::socket::wait_read, lostAwait);
        if (failure || channel.socket().available() == 0)
            co_return;
        asio::steady_timer never(channel.socket().get_executor(), steady::time_point::max());
        co_await never.async_wait(lostAwait);
    }

    static std::string headText(int status, const work_note& note, const std::string& fields)
    {
        return "HTTP/1.1 " + std::to_string(status) + " S\r\nX-Attempt-Id: " + note.id + "\r\nX-Response-Seal: seal-" + note.id + "\r\n" + fields + "\r\n";
    }

    // Returns whether the channel stays open.
    asio::awaitable<bool> answer(lost_channel& channel, const lost_head& head, work_note& note)
    {
        std::istringstream line(head.firstLine);
        std::string method;
        std::string path;
        line >> method >> path;
        if (path.starts_with("/report"))
            co_return co_await sendReport(channel);
        const auto kind = std::find_if(m_site.classes.begin(), m_site.classes.end(), [&path](const lost_class& item) { return path.starts_with(item.path()); });
        if (note.id.empty() || (kind == m_site.classes.end() && !path.starts_with("/idle-")))
            co_return co_await channel.send("HTTP/1.1 404 S\r\nContent-Length: 0\r\n\r\n");
        if (head.value("X-Expect-Instance") != m_id && !head.value("X-Expect-Instance").empty()) {
            note.outcome = "misdirected";
            co_return co_await channel.send(headText(421, note, "X-Not-Executed: 1\r\nContent-Length: 0\r\n"));
        }
        if (m_running >= slots() && m_waiting >= maxWaiting()) {
            note.outcome = "shed";
            co_return co_await channel.send(headText(503, note, "X-Not-Executed: 1\r\nContent-Length: 0\r\n"));
        }
        const auto& answered = kind == m_site.classes.end() ? m_site.classes.back() : *kind;
        const auto deadline = steady::now() + fromMs(std::atof(head.value("X-Deadline-Ms").c_str()));
        ++m_waiting;
        m_requests.push_back({ std::atoi(head.value("X-Request-Priority").c_str()), promptTokens(head), false, asio::steady_timer(channel.socket().get_executor(), deadline) });
        const auto request = std::prev(m_requests.end());
        const place held(*this, request);
        admit();
        if (!request->isAdmitted)
            co_await request->timer.async_wait(lostAwait);
        if (co_await isCancelled())
            co_return false;
        if (!request->isAdmitted) {
            note.outcome = "deadline_in_queue";
            co_return co_await channel.send(headText(503, note, "X-Not-Executed: 1\r\nContent-Length: 0\r\n"));
        }
        note.admittedAt = unixMicroseconds();
        if (answered.isStream())
            co_return co_await stream(channel, head, note, deadline);
        const auto workEnd = steady::now() + fromMs(answered.workMs.draw(m_random));
        note.begunAt = note.admittedAt;
        co_await sleepUntil(std::min(deadline, workEnd));
        if (co_await isCancelled())
            co_return false;
        note.outcome = workEnd > deadline ? "deadline" : "done";
        const bool fails = std::bernoulli_distribution(answered.errorShare)(m_random);
        co_return co_await channel.send(headText(workEnd > deadline ? 504 : fails ? 500
                                                                                  : 200,
                                            note, "Content-Length: 800\r\n")
            + std::string(800, 'x'));
    }

    asio::awaitable<bool> stream(lost_channel& channel, const lost_head& head, work_note& note, steady::time_point deadline)
    {
        // Parts that were read before are kept, so that only new ones are read.
        double unread = 0;
        std::istringstream parts(head.value("X-Prompt-Prefix"));
        for (std::string part; std::getline(parts, part, ',');) {
            if (m_readParts.insert(part).second)
                unread += std::atof(part.c_str() + part.find(':') + 1);
        }
        m_prefillFreeAt = std::max(m_prefillFreeAt, steady::now()) + fromMs(unread / m_site.prefillTokensPerMs * m_speed);
        co_await sleepUntil(std::min(deadline, m_prefillFreeAt));
        if (co_await isCancelled())
            co_return false;
        // The number of events depends on the request alone, so that a stream can go on at another worker.
        const auto lastEvent = std::max(1, std::atoi(head.value("X-Length-Hint").c_str()) / m_site.stride);
        auto nextEvent = std::atoi(head.value("Last-Event-Id").c_str()) + 1;
        if (steady::now() >= deadline) {
            note.outcome = "deadline";
            co_return co_await channel.send(headText(504, note, "Content-Length: 0\r\n"));
        }
        note.begunAt = unixMicroseconds();
        if (!co_await channel.send(headText(200, note, "Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n")))
            co_return false;
        for (; nextEvent <= lastEvent; ++nextEvent) {
            const auto event = "id: " + std::to_string(nextEvent) + "\ndata: " + std::string(static_cast<std::size_t>(m_site.eventBytes), 'x') + "\n\n";
            std::ostringstream chunk;
            chunk << std::hex << event.size() << "\r\n"
                  << event << "\r\n";
            if (!co_await channel.send(chunk.str()))
                co_return false;
            if (std::bernoulli_distribution(silenceShare)(m_random))
                co_await sleepUntil(std::min(deadline, steady::now() + fromMs(std::uniform_real_distribution<double>(500, 6000)(m_random))));
            const double chunkMs = steady::now() < m_prefillFreeAt ? prefillChunkTokens / m_site.prefillTokensPerMs : 0;
            co_await sleepUntil(std::min(deadline, steady::now() + fromMs((m_site.stepMs + m_site.stepMsPerSlot * m_running + chunkMs) * m_site.stride * m_speed)));
            if (steady::now() >= deadline) {
                note.outcome = "deadline";
                co_return false;
            }
        }
        note.outcome = "done";
        co_return co_await channel.send("0\r\n\r\n");
    }

    // Whether the caller has closed the channel, which ends the answer.
    static asio::awaitable<bool> isCancelled()
    {
        co_return (co_await asio::this_coro::cancellation_state).cancelled() != asio::cancellation_type::none;
    }

    asio::awaitable<void> sleepUntil(steady::time_point time)
    {
        asio::steady_timer timer(m_acceptor.get_executor(), time);
        co_await timer.async_wait(lostAwait);
    }

    std::int64_t promptTokens(const lost_head& head) const
    {
        const auto usage = head.value("X-Token-Usage");
        return m_isEngine && !usage.empty() ? std::atoll(usage.c_str()) + std::atoll(usage.c_str() + usage.find(',') + 1) : 0;
    }

    // Gives free slots and memory to the most urgent of the requests that wait, the oldest of them first.
    void admit()
    {
        while (m_running < slots()) {
            auto best = m_requests.end();
            for (auto item = m_requests.begin(); item != m_requests.end(); ++item) {
                if (!item->isAdmitted && (best == m_requests.end() || item->priority < best->priority))
                    best = item;
            }
            if (best == m_requests.end() || (m_isEngine && m_usedTokens > 0 && m_usedTokens + best->tokens > m_site.kvTokens))
                return;
            best->isAdmitted = true;
            --m_waiting;
            ++m_running;
            m_usedTokens += best->tokens;
            best->timer.cancel();
        }
    }

    asio::awaitable<bool> sendReport(lost_channel& channel)
    {
        const json report { { "Stage", "colocated" }, { "Models", { { { "Name", "m" }, { "Version", 1 }, { "Adapters", json::array() } } } }, { "Busy", false }, { "Sequence", 1 }, { "QueueDepth", m_waiting }, { "InFlight", m_running }, { "KvUsed", m_usedTokens }, { "KvTotal", m_site.kvTokens }, { "Handles", 0 }, { "born", 1 } };
        const auto body = report.dump();
        co_return co_await channel.send("HTTP/1.1 200 S\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    const lost_site& m_site;
    std::string m_id;
    bool m_isEngine;
    double m_speed;
    tcp::acceptor m_acceptor;
    std::mt19937 m_random;
    std::ofstream& m_notes;
    int m_connections = 0;
    int m_running = 0;
    int m_waiting = 0;
    std::int64_t m_usedTokens = 0;
    std::list<waiting_request> m_requests;
    std::set<std::string> m_readParts;
    steady::time_point m_prefillFreeAt;
};

// The store. It acknowledges a configuration when it has taken it.
class lost_store {
public:
    lost_store(const lost_site& site, int port, int workerPort)
        : m_site(site)
        , m_workerPort(workerPort)
    {
        m_server.new_task_queue = [] { return new httplib::ThreadPool(48); };
        m_server.Get(R"(/objects/([\w-]+))", [this](const httplib::Request& request, httplib::Response& response) { read(request, response); });
        m_server.Post("/publish", [this](const httplib::Request&, httplib::Response&) {
            const std::lock_guard lock(m_mutex);
            ++m_version;
            m_changed.notify_all();
        });
        // Without SO_REUSEPORT, which httplib sets by default: two tests on the same port would share its connections.
        m_server.set_socket_options([](socket_t socket) {
            const int reuse = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
        });
        if (!m_server.bind_to_port("127.0.0.1", port)) {
            std::cerr << "port " << port << " is in use" << std::endl;
            std::exit(2);
        }
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
    }

    ~lost_store()
    {
        m_server.stop();
        m_thread.join();
    }

private:
    static constexpr auto maxWatchTime = std::chrono::milliseconds(500);

    static json object(const std::string& name, int revision, const json& spec)
    {
        return { { "Metadata", { { "Name", name }, { "Revision", revision } } }, { "Spec", spec } };
    }

    // Each version adds and removes routes, a service and a key that nobody uses. Every second one lacks the last route and the second key of
    // the clients, and every second pair of versions moves the third route to a service with engines of its own.
    json config() const
    {
        json routes = json::array();
        const auto add = [&routes](const std::string& name, const std::string& path, const lost_class& kind) {
            routes.push_back({ { "Name", name }, { "Host", "h" }, { "PathPrefix", path }, { "Kind", kind.kind }, { "TimeoutMs", kind.timeoutMs }, { "SloMs", kind.sloMs }, { "GapTargetMs", kind.gapMs }, { "Service", kind.service() }, { "MaxAttempts", kind.attempts }, { "Priority", kind.priority }, { "Resumable", kind.isResumable }, { "Affinity", kind.isStream() } });
        };
        for (const auto& kind : m_site.classes) {
            if (&kind != &m_site.classes.back() || m_version % 2 == 1)
                add(kind.name, kind.path(), kind);
            if (&kind == &m_site.classes[2] && m_version % 4 >= 2)
                routes.back()["Service"] = "moved";
        }
        for (int number = 0; number < 8; ++number)
            add("idle-" + std::to_string(number), "/idle-" + std::to_string(number + m_version) + "/", m_site.classes.back());
        json services { { { "Name", "app" }, { "MaxConns", appConnections } } };
        for (const auto* name : { "engine", "moved" })
            services.push_back({ { "Name", name }, { "MaxConns", m_site.engineConnections }, { "Engine", { { "Slots", m_site.engineSlots }, { "KvCapacity", m_site.kvTokens }, { "Stride", m_site.stride } } } });
        if (m_version % 2 == 0)
            services.push_back({ { "Name", "spare-" + std::to_string(m_version) }, { "MaxConns", 10 } });
        json keys { "key", "key-" + std::to_string(m_version) };
        if (m_version % 2 == 1)
            keys.push_back("second-key");
        const json limits { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 4194304 }, { "HeaderTimeoutMs", 3000 }, { "IdleTimeoutMs", idleTimeoutMs } };
        return { { "Version", m_version * 3 }, { "Routes", routes }, { "Services", services }, { "Tenants", { { { "Name", "t" }, { "ApiKeys", keys } } } }, { "Limits", limits } };
    }

    json worker(int number) const
    {
        const auto* service = number < m_site.engines ? "engine" : "moved";
        const bool isEngine = m_site.isEngine(number);
        return { { "Service", isEngine ? service : "app" }, { "Address", "127.0.0.1:" + std::to_string(m_workerPort + number) }, { "Zone", "z" }, { "Version", "v1" }, { "Slots", isEngine ? m_site.engineSlots : appSlots }, { "State", "ready" }, { "Sequence", 1 }, { "born", 1 } };
    }

    void read(const httplib::Request& request, httplib::Response& response)
    {
        std::unique_lock lock(m_mutex);
        response.set_header("Store-Era", "1");
        const bool isConfig = request.matches[1] == "config";
        // Revision N belongs to version N of the configuration.
        if (request.has_param("Watch")) {
            const int known = std::atoi(request.get_param_value("Watch").c_str());
            m_changed.wait_for(lock, maxWatchTime, [&] { return isConfig && m_version > known; });
            json events = json::array();
            if (isConfig && m_version > known)
                events.push_back({ { "Object", object("main", m_version, config()) }, { "Deleted", false } });
            return response.set_content(json { { "events", events }, { "At", m_version } }.dump(), "application/json");
        }
        json items = json::array();
        if (isConfig)
            items.push_back(object("main", m_version, config()));
        for (int number = 0; request.matches[1] == "servers" && number < m_site.workers(); ++number)
            items.push_back(object("w" + std::to_string(number), 1, worker(number)));
        response.set_content(json { { "Items", items }, { "HasMore", false }, { "At", m_version } }.dump(), "application/json");
    }

    const lost_site& m_site;
    int m_workerPort;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_version = 1;
    httplib::Server m_server;
    std::thread m_thread;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 6) {
        std::cerr << "usage: lost-surroundings SITE SEED STORE_PORT FIRST_WORKER_PORT NOTES\n";
        return 2;
    }
    const auto site = lostSite(arguments[1]);
    std::ofstream notes(arguments[5]);
    const int workerPort = std::atoi(arguments[4]);
    const lost_store store(site, std::atoi(arguments[3]), workerPort);
    asio::io_context context;
    std::vector<std::unique_ptr<lost_worker>> workers;
    workers.reserve(static_cast<std::size_t>(site.workers()));
    for (int number = 0; number < site.workers(); ++number)
        workers.push_back(std::make_unique<lost_worker>(context, site, number, workerPort + number, static_cast<unsigned>(std::atoi(arguments[2])), notes));
    context.run();
    return 0;
}
