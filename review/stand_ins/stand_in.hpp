#pragma once

// Small stand-ins for the platform's store, workers and consumers, and a handle for a router process. Everything listens on
// loopback addresses at ports that the kernel picks. Each connection has a thread of its own.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stand_in {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
using nlohmann::json;

inline void sleepMs(int count) { std::this_thread::sleep_for(milliseconds(count)); }

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// The record of a run: one line for each thing that was sent, answered or run, with the milliseconds since the start.
class recorder {
public:
    explicit recorder(const std::string& file)
        : m_file(file)
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << since() << " " << text << "\n";
        m_file.flush();
    }

    // Also shown on standard output.
    void note(const std::string& text)
    {
        line(text);
        const std::lock_guard lock(m_mutex);
        std::printf("%lld %s\n", static_cast<long long>(since()), text.c_str());
        std::fflush(stdout);
    }

    std::int64_t since() const { return std::chrono::duration_cast<milliseconds>(steady::now() - m_start).count(); }

private:
    std::ofstream m_file;
    std::mutex m_mutex;
    steady::time_point m_start = steady::now();
};

// Ends the program as one that could not run its case.
[[noreturn]] inline void cannotRun(const std::string& reason)
{
    std::printf("cannot run: %s\n", reason.c_str());
    std::fflush(stdout);
    std::_Exit(2);
}

inline sockaddr_in socketAddress(const std::string& host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

inline bool isFreePort(const char* host, int port, int type)
{
    const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const auto address = socketAddress(host, port);
    const bool isFree = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(socket);
    return isFree;
}

// Returns a port that is free at the loopback addresses of the stand-ins and the routers. It lies below the range from which the
// kernel takes ports of outgoing connections, so that it stays free while a server that uses it starts again.
inline int findFreePort(int type = SOCK_STREAM)
{
    constexpr int firstPort = 12000;
    constexpr int portCount = 7400;
    constexpr const char* hosts[] = { "127.0.0.1", "127.0.1.1", "127.0.1.2", "127.0.1.3" };
    static int next = static_cast<int>((static_cast<std::int64_t>(::getpid()) * 7919 + unixMs()) % portCount);
    for (int tries = 0; tries < 1000; ++tries) {
        const int port = firstPort + (next += 7) % portCount;
        if (std::all_of(std::begin(hosts), std::end(hosts), [&](const char* host) { return isFreePort(host, port, type); }))
            return port;
    }
    cannotRun("no free port");
}

struct http_message {
    std::string startLine;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    // Path and query of a request.
    std::string target() const
    {
        const auto first = startLine.find(' ');
        const auto second = startLine.find(' ', first + 1);
        return startLine.substr(first + 1, second - first - 1);
    }
    int status() const { return startLine.size() < 12 ? 0 : std::atoi(startLine.c_str() + 9); }
};

// One TCP connection. Owns its socket.
class connection {
public:
    explicit connection(int socket)
        : m_socket(socket)
    {
        const int on = 1;
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void close()
    {
        const int socket = m_socket.exchange(-1);
        if (socket >= 0)
            ::close(socket);
    }

    // Resets the connection at once, also while other threads read or write.
    void reset()
    {
        const int socket = m_socket;
        m_isReset = true;
        sockaddr none {};
        none.sa_family = AF_UNSPEC;
        if (socket >= 0)
            ::connect(socket, &none, sizeof none);
    }
    bool isReset() const { return m_isReset; }

    bool write(std::string_view bytes)
    {
        while (!bytes.empty()) {
            if (m_isReset)
                return false;
            const auto sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    // Appends what arrives next to the buffer, at most so many bytes. Returns the number of bytes, 0 at the end, -1 on a
    // failure and -2 on a timeout.
    int receive(int timeoutMs, std::size_t most = 65536)
    {
        pollfd waiting { m_socket, POLLIN, 0 };
        if (::poll(&waiting, 1, timeoutMs) <= 0)
            return -2;
        std::string bytes(most, '\0');
        const auto size = ::recv(m_socket, bytes.data(), bytes.size(), 0);
        if (size > 0)
            m_buffer.append(bytes, 0, static_cast<std::size_t>(size));
        return static_cast<int>(size);
    }

    // Whether the peer has closed its side or the connection has failed.
    bool peerHasLeft() const
    {
        char byte = 0;
        const auto size = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    // Reads start line and headers. Returns false if the connection ends or the time is over before they are complete.
    bool readHead(http_message& message, steady::time_point until)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!receiveUntil(until))
                return false;
        }
        parseHead(m_buffer.substr(0, end + 2), message);
        m_buffer.erase(0, end + 4);
        return true;
    }

    // Reads a whole request.
    bool readRequest(http_message& message, steady::time_point until)
    {
        if (!readHead(message, until))
            return false;
        const auto length = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
        while (m_buffer.size() < length) {
            if (!receiveUntil(until))
                return false;
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }

    bool receiveUntil(steady::time_point until, std::size_t most = 65536)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
        return left > 0 && receive(static_cast<int>(left), most) > 0;
    }

    std::string& buffer() { return m_buffer; }
    int socket() const { return m_socket; }

private:
    static void parseHead(const std::string& text, http_message& message)
    {
        message = {};
        std::size_t start = 0;
        for (auto end = text.find("\r\n"); end != std::string::npos; end = text.find("\r\n", start)) {
            const auto line = text.substr(start, end - start);
            start = end + 2;
            if (message.startLine.empty()) {
                message.startLine = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
    }

    std::atomic<int> m_socket;
    std::atomic<bool> m_isReset { false };
    std::string m_buffer;
};

// Accepts connections at a loopback address and passes each to a handler on a thread of its own.
class server {
public:
    using handler = std::function<void(connection&)>;

    server(std::string host, handler onConnection)
        : m_host(std::move(host))
        , m_onConnection(std::move(onConnection))
        , m_port(findFreePort())
    {
        open();
    }
    ~server() { stop(); }

    int port() const { return m_port; }
    std::string address() const { return m_host + ":" + std::to_string(m_port); }

    void open()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = socketAddress(m_host, m_port);
        if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(m_listener, 512) != 0)
            cannotRun("cannot listen at " + this->address());
        m_isOpen = true;
        m_acceptor = std::thread([this] { acceptLoop(); });
    }

    // Closes the port and resets all connections, as the end of a process does.
    void stop()
    {
        if (!m_isOpen.exchange(false))
            return;
        m_acceptor.join();
        ::close(m_listener);
        {
            const std::lock_guard lock(m_mutex);
            for (const auto& item : m_connections)
                item->reset();
        }
        for (int tries = 0; m_active > 0 && tries < 3000; ++tries)
            sleepMs(1);
    }

    bool isOpen() const { return m_isOpen; }

private:
    void acceptLoop()
    {
        while (m_isOpen) {
            pollfd waiting { m_listener, POLLIN, 0 };
            if (::poll(&waiting, 1, 5) <= 0)
                continue;
            const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            auto accepted = std::make_shared<connection>(socket);
            {
                const std::lock_guard lock(m_mutex);
                m_connections.insert(accepted);
            }
            ++m_active;
            std::thread([this, accepted] {
                m_onConnection(*accepted);
                accepted->close();
                {
                    const std::lock_guard lock(m_mutex);
                    m_connections.erase(accepted);
                }
                --m_active;
            }).detach();
        }
    }

    std::string m_host;
    handler m_onConnection;
    int m_port;
    int m_listener = -1;
    std::atomic<bool> m_isOpen { false };
    std::atomic<int> m_active { 0 };
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<std::shared_ptr<connection>> m_connections;
};

inline std::string httpAnswer(int status, const std::string& reason, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The value of a query parameter, or an empty text.
inline std::string queryValue(const std::string& target, const std::string& name)
{
    const auto start = target.find_first_of('?');
    if (start == std::string::npos)
        return {};
    const auto query = "&" + target.substr(start + 1);
    const auto found = query.find("&" + name + "=");
    if (found == std::string::npos)
        return {};
    const auto value = query.substr(found + name.size() + 2);
    return value.substr(0, value.find('&'));
}

// The platform's store: objects by kind and name, lists, watches, and conditional writes. While it is silent it reads calls and answers
// none of them, and executes no write; channels on which it was silent are closed at the end.
class store {
public:
    explicit store(const std::string& host = "127.0.0.1")
        : m_server(host, [this](connection& channel) { serve(channel); })
    {
    }

    std::string address() const { return m_server.address(); }

    // Writes an object as the operator or a worker does. Returns false if the store is silent.
    bool put(const std::string& kind, const std::string& name, const json& spec) { return putText(kind, name, spec.dump()); }

    // The same with the bytes of the spec as they are.
    bool putText(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard lock(m_mutex);
        if (m_silent)
            return false;
        auto& known = m_objects[kind][name];
        if (known.revision != 0 && known.spec == spec)
            return true;
        known = { spec, ++m_revision };
        m_history.push_back({ kind, name, known, false });
        m_changed.notify_all();
        return true;
    }

    bool remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_objects[kind].find(name);
        if (m_silent || found == m_objects[kind].end())
            return false;
        auto last = found->second;
        last.revision = ++m_revision;
        m_objects[kind].erase(found);
        m_history.push_back({ kind, name, last, true });
        m_changed.notify_all();
        return true;
    }

    void setSilent(bool silent)
    {
        const std::lock_guard lock(m_mutex);
        m_silent = silent;
        ++m_silences;
        m_changed.notify_all();
    }

private:
    struct object {
        std::string spec;
        std::uint64_t revision = 0;
    };
    struct change {
        std::string kind;
        std::string name;
        object content;
        bool deleted = false;
    };

    static std::string objectText(const std::string& name, const object& item)
    {
        return "{\"Metadata\":{\"Name\":" + json(name).dump() + ",\"Revision\":" + std::to_string(item.revision) + ",\"Created\":1,\"Finalizers\":[],\"DeletionPending\":false},\"Spec\":" + item.spec + ",\"Status\":null}";
    }

    void serve(connection& channel)
    {
        http_message request;
        while (channel.readRequest(request, steady::now() + std::chrono::seconds(120))) {
            const auto answer = answerTo(request, channel);
            if (answer.empty() || !channel.write(answer))
                return;
        }
    }

    // Returns nothing if the call gets no answer.
    std::string answerTo(const http_message& request, const connection& channel)
    {
        sleepMs(4);
        std::unique_lock lock(m_mutex);
        if (!awaitSound(lock, channel))
            return {};
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        constexpr std::string_view prefix = "/objects/";
        if (!path.starts_with(prefix))
            return reply(404, "Not Found", "{}");
        const auto rest = path.substr(prefix.size());
        const auto slash = rest.find('/');
        const auto kind = rest.substr(0, slash);
        const auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
        if (request.method() == "GET" && name.empty()) {
            const auto watched = queryValue(target, "Watch");
            return watched.empty() ? list(kind, queryValue(target, "After")) : watch(kind, std::strtoull(watched.c_str(), nullptr, 10), std::atoi(queryValue(target, "WaitMs").c_str()), lock, channel);
        }
        return write(request, kind, name);
    }

    // Waits while the store is silent. Returns false if it has been, since the channel then gets no answer.
    bool awaitSound(std::unique_lock<std::mutex>& lock, const connection& channel)
    {
        const bool wasSilent = m_silent;
        while (m_silent) {
            m_changed.wait_for(lock, milliseconds(50));
            if (channel.isReset())
                return false;
        }
        return !wasSilent;
    }

    static std::string reply(int status, const std::string& reason, const std::string& body)
    {
        return httpAnswer(status, reason, "Content-Type: application/json\r\nStore-Era: 1\r\n", body);
    }

    std::string list(const std::string& kind, const std::string& after)
    {
        std::string items;
        for (const auto& [name, item] : m_objects[kind]) {
            if (after.empty() || name > after)
                items += (items.empty() ? "" : ",") + objectText(name, item);
        }
        return reply(200, "OK", "{\"Items\":[" + items + "],\"HasMore\":false,\"At\":" + std::to_string(m_revision) + "}");
    }

    std::string watch(const std::string& kind, std::uint64_t since, int waitMs, std::unique_lock<std::mutex>& lock, const connection& channel)
    {
        const auto until = steady::now() + milliseconds(waitMs);
        const auto silences = m_silences;
        while (true) {
            if (m_silences != silences) {
                awaitSound(lock, channel);
                return {};
            }
            std::string events;
            for (const auto& item : m_history) {
                if (item.kind == kind && item.content.revision > since)
                    events += (events.empty() ? "" : ",") + ("{\"Deleted\":" + std::string(item.deleted ? "true" : "false") + ",\"Object\":" + objectText(item.name, item.content) + "}");
            }
            if (!events.empty() || steady::now() >= until)
                return reply(200, "OK", "{\"events\":[" + events + "],\"At\":" + std::to_string(m_revision) + "}");
            if (channel.isReset() || channel.peerHasLeft())
                return {};
            m_changed.wait_for(lock, milliseconds(50));
        }
    }

    std::string write(const http_message& request, const std::string& kind, const std::string& pathName)
    {
        const auto body = json::parse(request.body, nullptr, false);
        auto& objects = m_objects[kind];
        if (request.method() == "DELETE") {
            if (objects.erase(pathName) == 0)
                return reply(404, "Not Found", "{}");
            ++m_revision;
            return reply(200, "OK", "{}");
        }
        if (!body.is_object() || !body.contains("Spec"))
            return reply(400, "Bad Request", "{}");
        const auto name = pathName.empty() ? body["Metadata"]["Name"].get<std::string>() : pathName;
        const bool exists = objects.contains(name);
        if (request.method() == "POST" ? exists : !exists)
            return exists ? reply(409, "Conflict", objectText(name, objects[name])) : reply(404, "Not Found", "{}");
        objects[name] = { body["Spec"].dump(), ++m_revision };
        m_history.push_back({ kind, name, objects[name], false });
        m_changed.notify_all();
        return reply(200, "OK", objectText(name, objects[name]));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::vector<change> m_history;
    std::uint64_t m_revision = 100;
    bool m_silent = false;
    int m_silences = 0;
    server m_server;
};

// One worker. It registers itself in the store when it starts and at each heartbeat, and answers requests by a handler.
class worker {
public:
    struct options {
        std::string id;
        std::string service;
        std::string zone;
        std::string host = "127.0.0.1";
        int slots = 64;
        int heartbeatMs = 1200;
    };
    // Answers a request that was accepted; returns whether the channel is kept.
    using handler = std::function<bool(worker&, const http_message&, connection&)>;

    worker(options workerOptions, store& registry, std::string version, handler onRequest)
        : m_options(std::move(workerOptions))
        , m_store(registry)
        , m_version(std::move(version))
        , m_onRequest(std::move(onRequest))
        , m_server(m_options.host, [this](connection& channel) { serve(channel); })
    {
        registerSelf();
        m_heart = std::thread([this] { beat(); });
    }
    ~worker()
    {
        m_ending = true;
        m_heart.join();
        m_server.stop();
    }

    const std::string& id() const { return m_options.id; }
    std::string version() const
    {
        const std::lock_guard lock(m_mutex);
        return m_version;
    }

    // The process ends: its port closes and its connections are reset.
    void crash() { m_server.stop(); }

    // A process starts under the same id and at the same address.
    void startAgain(const std::string& version)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_version = version;
            m_born = unixMs();
        }
        m_server.open();
        registerSelf();
    }

    void setState(const std::string& state)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_state = state;
        }
        registerSelf();
    }

    // Returns whether the store has accepted the entry.
    bool registerSelf()
    {
        json spec;
        {
            const std::lock_guard lock(m_mutex);
            spec = { { "Service", m_options.service }, { "Address", m_server.address() }, { "Zone", m_options.zone }, { "Version", m_version }, { "Slots", m_options.slots },
                { "State", m_state }, { "ColdLeftMs", 0 }, { "Sequence", 1 }, { "born", m_born } };
        }
        return m_store.put("servers", m_options.id, spec);
    }

private:
    void beat()
    {
        for (int waited = 0; !m_ending; waited += 20) {
            sleepMs(20);
            if (waited % m_options.heartbeatMs == 0 && m_server.isOpen())
                registerSelf();
        }
    }

    void serve(connection& channel)
    {
        http_message request;
        while (channel.readRequest(request, steady::now() + std::chrono::seconds(30))) {
            const auto target = request.target();
            if (target == "/report") {
                std::int64_t born = 0;
                {
                    const std::lock_guard lock(m_mutex);
                    born = m_born;
                }
                const json report { { "Stage", "colocated" }, { "Busy", false }, { "Sequence", 1 }, { "QueueDepth", 0 }, { "InFlight", 0 }, { "born", born } };
                if (!channel.write(httpAnswer(200, "OK", "Content-Type: application/json\r\n", report.dump())))
                    return;
                continue;
            }
            if (request.header("x-expect-instance") != m_options.id) {
                if (!channel.write(httpAnswer(421, "Misdirected Request", "X-Not-Executed: 1\r\nX-Instance-Id: " + m_options.id + "\r\nX-Attempt-Id: " + request.header("x-attempt-id") + "\r\n", "")))
                    return;
                continue;
            }
            if (!m_onRequest(*this, request, channel))
                return;
        }
    }

    options m_options;
    store& m_store;
    mutable std::mutex m_mutex;
    std::string m_version;
    std::string m_state = "ready";
    std::int64_t m_born = unixMs();
    handler m_onRequest;
    server m_server;
    std::thread m_heart;
    std::atomic<bool> m_ending { false };
};

// A consumer's channel to a router.
inline std::unique_ptr<connection> connectTo(const std::string& host, int port, const std::function<void(int)>& prepare = {})
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (prepare)
        prepare(socket);
    const auto address = socketAddress(host, port);
    auto opened = std::make_unique<connection>(socket);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        return nullptr;
    return opened;
}

// An answer as a consumer has received it.
struct received_answer {
    int status = 0;
    http_message head;
    std::string body;
    // The answer has its whole length, or its last chunk.
    bool complete = false;
};

// Reads an answer with a length or in chunks. The pace, if any, is called before each read with the bytes so far and returns how many
// to read at most.
inline received_answer readAnswer(connection& channel, steady::time_point until, const std::function<std::size_t(std::size_t)>& pace = {})
{
    received_answer answer;
    if (!channel.readHead(answer.head, until))
        return answer;
    answer.status = answer.head.status();
    const auto more = [&] { return channel.receiveUntil(until, pace ? pace(answer.body.size() + channel.buffer().size()) : 65536); };
    if (answer.head.header("transfer-encoding") != "chunked") {
        const auto length = static_cast<std::size_t>(std::atoll(answer.head.header("content-length").c_str()));
        while (channel.buffer().size() < length && more()) { }
        answer.complete = channel.buffer().size() >= length;
        answer.body = channel.buffer().substr(0, length);
        channel.buffer().erase(0, answer.body.size());
        return answer;
    }
    while (true) {
        std::size_t line = 0;
        while ((line = channel.buffer().find("\r\n")) == std::string::npos) {
            if (!more())
                return answer;
        }
        const auto size = std::strtoull(channel.buffer().c_str(), nullptr, 16);
        while (channel.buffer().size() < line + 2 + size + 2) {
            if (!more())
                return answer;
        }
        answer.body += channel.buffer().substr(line + 2, size);
        channel.buffer().erase(0, line + 2 + size + 2);
        if (size == 0) {
            answer.complete = true;
            return answer;
        }
    }
}

// A router process, started with the command of the deploy file and a settings file as DEPLOY.md shows it.
class router {
public:
    struct options {
        std::string name;
        std::string zone;
        // Each router has a loopback address of its own, since all use the same ports.
        std::string host;
        std::vector<std::string> seeds;
        std::string storeAddress;
        std::string folder;
        std::string command;
        int frontPort = 0;
        int readyPort = 0;
        int peerPort = 0;
    };

    explicit router(options routerOptions)
        : m_options(std::move(routerOptions))
    {
        writeSettings();
        start();
    }
    ~router() { kill(SIGKILL); }

    void start()
    {
        const auto settings = "KUMQUATSPRING_SETTINGS=" + settingsFile();
        const auto log = m_options.folder + "/" + m_options.name + ".log";
        m_process = ::fork();
        if (m_process != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        std::string variable = settings;
        std::vector<std::string> words;
        std::size_t begin = 0;
        while (begin < m_options.command.size()) {
            const auto end = std::min(m_options.command.find(' ', begin), m_options.command.size());
            if (end > begin)
                words.push_back(m_options.command.substr(begin, end - begin));
            begin = end + 1;
        }
        std::vector<char*> arguments;
        for (auto& word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        char* environment[] = { variable.data(), nullptr };
        ::execve(arguments[0], arguments.data(), environment);
        std::_Exit(127);
    }

    void kill(int signal) const
    {
        if (m_process > 0)
            ::kill(m_process, signal);
        if (signal == SIGKILL && m_process > 0)
            ::waitpid(m_process, nullptr, 0);
    }

    // Returns whether the process has ended, and forgets it then.
    bool hasEnded()
    {
        int status = 0;
        if (m_process > 0 && ::waitpid(m_process, &status, WNOHANG) == m_process)
            m_process = 0;
        return m_process == 0;
    }

    bool isReady() const
    {
        auto channel = connectTo(m_options.host, m_options.readyPort);
        http_message answer;
        return channel && channel->write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") && channel->readHead(answer, steady::now() + milliseconds(500)) && answer.status() == 200;
    }

    bool awaitReady(int timeoutMs) const
    {
        for (int waited = 0; waited < timeoutMs; waited += 20) {
            if (isReady())
                return true;
            sleepMs(20);
        }
        return false;
    }

    const std::string& name() const { return m_options.name; }
    const std::string& host() const { return m_options.host; }
    int frontPort() const { return m_options.frontPort; }

private:
    std::string settingsFile() const { return m_options.folder + "/" + m_options.name + ".json"; }

    void writeSettings() const
    {
        const auto at = [this](int port) { return m_options.host + ":" + std::to_string(port); };
        json seeds = json::array();
        for (const auto& seed : m_options.seeds)
            seeds.push_back(seed + ":9");
        const json settings {
            { "NodeName", m_options.name }, { "Role", "entry" }, { "MachineClass", "frontend" }, { "Serves", { "frontend", "control_plane" } }, { "Ip", m_options.host }, { "Zone", m_options.zone },
            { "Region", "accra" }, { "Listen", { { "Front", at(m_options.frontPort) }, { "Ready", at(m_options.readyPort) } } }, { "InternalPorts", { m_options.peerPort, m_options.peerPort } },
            { "Seeds", seeds }, { "Bootstrap", true }, { "HeartbeatMs", 1200 },
            { "Bounds", { { "ContactMs", 3000 }, { "DrainMs", 2000 }, { "GraceS", 8 }, { "LossSlackMs", 200 }, { "ConfigDeadlineMs", 2000 }, { "StrictRevoke", true }, { "RevokeMs", 5000 }, { "BudgetRatio", 0.2 }, { "BudgetWindowS", 10 }, { "RetrySlack", 54 }, { "RecoveryS", 12 } } },
            { "Platform", { { "Address", m_options.storeAddress }, { "form", "objects" }, { "WritesPerS", 400 }, { "ReadsPerS", 2000 }, { "HistoryS", 20 } } }
        };
        std::ofstream(settingsFile()) << settings.dump(1) << "\n";
    }

    options m_options;
    pid_t m_process = 0;
};

// Starts so many routers, each in a zone and at a loopback address of its own, and waits until they are ready.
inline std::vector<std::unique_ptr<router>> startRouters(int count, const std::string& storeAddress, const std::string& folder, const std::string& command)
{
    // All routers use the same ports, at different addresses.
    const int frontPort = findFreePort();
    const int readyPort = findFreePort();
    const int peerPort = findFreePort(SOCK_DGRAM);
    static const char* zones[] = { "east-legon", "tema", "spintex" };
    std::vector<std::string> hosts;
    for (int number = 0; number < count; ++number)
        hosts.push_back("127.0.1." + std::to_string(number + 1));
    std::vector<std::unique_ptr<router>> routers;
    for (int number = 0; number < count; ++number) {
        const std::string zone = zones[number % 3];
        routers.push_back(std::make_unique<router>(router::options { "frontend-" + zone + "-" + std::to_string(number / 3 + 1), zone, hosts[static_cast<std::size_t>(number)], hosts, storeAddress, folder, command, frontPort, readyPort, peerPort }));
    }
    for (const auto& item : routers) {
        if (!item->awaitReady(10000))
            cannotRun("router " + item->name() + " did not become ready");
    }
    return routers;
}

// What a script passes on: the command of the deploy file, the folder for temporary files, the file of the record, and whether the
// disruption happens.
struct arguments {
    std::string command;
    std::string folder;
    std::string record;
    bool trouble = true;
};

inline arguments parseArguments(int count, char** values)
{
    if (count != 4)
        cannotRun("usage: COMMAND FOLDER RECORD, and TROUBLE=0 in the environment for a run without the disruption");
    std::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    return { values[1], values[2], values[3], !trouble || std::string(trouble) != "0" };
}

} // namespace stand_in
