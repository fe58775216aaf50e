#pragma once

// What the stand-ins of the cases from 11 on share: blocking sockets with a thread for each connection, the platform's store, and a
// record of what was sent, answered and run.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace stand_in {

using nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

// Ends the process while its threads still run.
[[noreturn]] inline void finish(int status) { std::_Exit(status); }

inline void sleepMs(int count) { std::this_thread::sleep_for(milliseconds(count)); }

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// Writes one line for each thing that happens, with the seconds since the start.
class record {
public:
    explicit record(const std::string& path)
        : m_file(path)
    {
    }

    void write(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32] = {};
        std::snprintf(time, sizeof time, "%8.3f  ", std::chrono::duration<double>(steady::now() - m_start).count());
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start = steady::now();
};

inline sockaddr_in addressOf(const std::string& host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string& host, int port)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    const auto address = addressOf(host, port);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(listener, 1024) != 0) {
        std::perror("listen");
        std::exit(exitNotRun);
    }
    return listener;
}

// Returns -1 if the connection is refused.
inline int connectTo(const std::string& host, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(host, port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    const int noDelay = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
    return socket;
}

inline bool sendAll(int socket, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto size = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

// The head of a request or an answer. Names of fields are in lower case.
struct message_head {
    std::string firstLine;
    std::map<std::string, std::string> fields;

    std::string value(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
    std::string method() const { return firstLine.substr(0, firstLine.find(' ')); }
    std::string target() const
    {
        const auto start = firstLine.find(' ') + 1;
        return firstLine.substr(start, firstLine.find(' ', start) - start);
    }
    int status() const { return std::atoi(firstLine.substr(firstLine.find(' ') + 1).c_str()); }
};

// Reads messages from a connection.
class reader {
public:
    explicit reader(int socket)
        : m_socket(socket)
    {
    }

    std::optional<message_head> readHead()
    {
        std::size_t end = std::string::npos;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return std::nullopt;
        }
        message_head head;
        std::istringstream lines(m_bytes.substr(0, end));
        m_bytes.erase(0, end + 4);
        std::string line;
        for (bool isFirst = true; std::getline(lines, line); isFirst = false) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            if (isFirst)
                head.firstLine = line;
            else if (colon != std::string::npos)
                head.fields[lower(line.substr(0, colon))] = line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size()));
        }
        return head;
    }

    std::optional<std::string> readBytes(std::size_t size)
    {
        while (m_bytes.size() < size) {
            if (!fill())
                return std::nullopt;
        }
        auto bytes = m_bytes.substr(0, size);
        m_bytes.erase(0, size);
        return bytes;
    }

    std::optional<std::string> readLine()
    {
        std::size_t end = std::string::npos;
        while ((end = m_bytes.find("\r\n")) == std::string::npos) {
            if (!fill())
                return std::nullopt;
        }
        auto line = m_bytes.substr(0, end);
        m_bytes.erase(0, end + 2);
        return line;
    }

    // The next chunk of a chunked body: empty at its end, nothing if it was broken off.
    std::optional<std::string> readChunk()
    {
        const auto size = readLine();
        if (!size)
            return std::nullopt;
        const auto count = std::strtoul(size->c_str(), nullptr, 16);
        auto bytes = readBytes(count + 2);
        if (!bytes)
            return std::nullopt;
        bytes->resize(count);
        return bytes;
    }

private:
    bool fill()
    {
        char buffer[65536];
        const auto size = ::recv(m_socket, buffer, sizeof buffer, 0);
        if (size <= 0)
            return false;
        m_bytes.append(buffer, static_cast<std::size_t>(size));
        return true;
    }

    int m_socket;
    std::string m_bytes;
};

// Accepts connections and serves each one in a thread until serve returns.
class server {
public:
    server(std::string host, int port, std::function<void(int socket)> serve)
        : m_host(std::move(host))
        , m_port(port)
        , m_serve(std::move(serve))
    {
    }

    void start()
    {
        m_listener = listenOn(m_host, m_port);
        std::thread([this, listener = m_listener] { accept(listener); }).detach();
    }

    // Ends like a process: the port refuses connections, and the open ones are closed.
    void stop()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_sockets)
            ::shutdown(socket, SHUT_RDWR);
    }

private:
    void accept(int listener)
    {
        while (true) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            const int noDelay = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
            {
                const std::lock_guard lock(m_mutex);
                m_sockets.insert(socket);
            }
            std::thread([this, socket] {
                m_serve(socket);
                const std::lock_guard lock(m_mutex);
                m_sockets.erase(socket);
                ::close(socket);
            }).detach();
        }
    }

    std::string m_host;
    int m_port;
    std::function<void(int)> m_serve;
    int m_listener = -1;
    std::mutex m_mutex;
    std::set<int> m_sockets;
};

// The platform's store: objects by kind and name, lists, watches, and writes. While it is silent it answers nothing: a call that
// arrives then is never answered, and its channel returns nothing further. A watch that was waiting before goes on afterwards.
class store {
public:
    store(const std::string& host, int port)
        : m_server(host, port, [this](int socket) { serve(socket); })
    {
    }

    void start() { m_server.start(); }

    int put(const std::string& kind, const std::string& name, const json& spec)
    {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        m_objects[kind][name] = object(name, m_revision, spec);
        m_changes.push_back({ m_revision, kind, m_objects[kind][name], false });
        m_changed.notify_all();
        return m_revision;
    }

    void setSilent(bool isSilent)
    {
        const std::lock_guard lock(m_mutex);
        m_isSilent = isSilent;
        m_changed.notify_all();
    }

private:
    struct change {
        int revision = 0;
        std::string kind;
        json content;
        bool isRemoval = false;
    };

    static json object(const std::string& name, int revision, const json& spec)
    {
        return { { "Metadata", { { "Name", name }, { "Revision", revision }, { "Created", 1 }, { "Finalizers", json::array() }, { "DeletionPending", false } } }, { "Spec", spec }, { "Status", json::object() } };
    }

    static std::string query(const std::string& target, const std::string& name)
    {
        const auto start = target.find(name + "=");
        if (start == std::string::npos)
            return "";
        const auto from = start + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }

    void serve(int socket)
    {
        reader input(socket);
        while (const auto head = input.readHead()) {
            const auto body = input.readBytes(static_cast<std::size_t>(std::atoi(head->value("content-length").c_str())));
            if (!body)
                return;
            const auto answer = call(*head, *body);
            if (!answer) {
                // The channel stays open and returns nothing further.
                while (input.readBytes(1)) { }
                return;
            }
            const auto text = answer->second.dump();
            if (!sendAll(socket, "HTTP/1.1 " + std::to_string(answer->first) + " S\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text))
                return;
        }
    }

    // Returns nothing if the store is silent.
    std::optional<std::pair<int, json>> call(const message_head& head, const std::string& body)
    {
        sleepMs(2);
        const auto target = head.target();
        const auto path = target.substr(0, target.find('?'));
        const std::string prefix = "/objects/";
        if (!path.starts_with(prefix))
            return std::pair { 404, json::object() };
        auto kind = path.substr(prefix.size());
        std::string name;
        if (const auto slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        std::unique_lock lock(m_mutex);
        if (m_isSilent)
            return std::nullopt;
        if (head.method() == "GET" && !query(target, "Watch").empty())
            return watch(lock, kind, std::atoi(query(target, "Watch").c_str()), milliseconds(std::atoi(query(target, "WaitMs").c_str())));
        if (head.method() == "GET" && name.empty())
            return std::pair { 200, list(kind, query(target, "After")) };
        const auto found = m_objects[kind].find(name);
        if (head.method() == "GET")
            return found == m_objects[kind].end() ? std::pair { 404, json::object() } : std::pair { 200, found->second };
        return write(kind, name, head.method(), body);
    }

    json list(const std::string& kind, const std::string& after)
    {
        json items = json::array();
        for (const auto& [name, item] : m_objects[kind]) {
            if (name > after)
                items.push_back(item);
        }
        return { { "Items", items }, { "HasMore", false }, { "At", m_revision } };
    }

    std::optional<std::pair<int, json>> watch(std::unique_lock<std::mutex>& lock, const std::string& kind, int since, milliseconds wait)
    {
        const auto end = steady::now() + wait;
        json events = json::array();
        while (true) {
            for (const auto& item : m_changes) {
                if (item.kind == kind && item.revision > since)
                    events.push_back({ { "Object", item.content }, { "Deleted", item.isRemoval } });
            }
            if (!m_isSilent && (!events.empty() || steady::now() >= end))
                return std::pair { 200, json { { "events", events }, { "At", m_revision } } };
            events.clear();
            if (m_isSilent)
                m_changed.wait(lock);
            else
                m_changed.wait_until(lock, end);
        }
    }

    std::pair<int, json> write(const std::string& kind, std::string name, const std::string& method, const std::string& body)
    {
        const auto content = json::parse(body, nullptr, false);
        if (method == "DELETE") {
            m_objects[kind].erase(name);
            return { 200, json::object() };
        }
        if (content.is_discarded())
            return { 400, json::object() };
        if (name.empty())
            name = content["Metadata"]["Name"].get<std::string>();
        const auto found = m_objects[kind].find(name);
        const bool exists = found != m_objects[kind].end();
        if ((method == "POST") == exists)
            return { exists ? 409 : 404, exists ? found->second : json::object() };
        const auto& metadata = content["Metadata"];
        if (exists && metadata.contains("Revision") && metadata["Revision"] != found->second["Metadata"]["Revision"])
            return { 409, found->second };
        ++m_revision;
        m_objects[kind][name] = object(name, m_revision, content.value("Spec", json::object()));
        m_changes.push_back({ m_revision, kind, m_objects[kind][name], false });
        m_changed.notify_all();
        return { exists ? 200 : 201, m_objects[kind][name] };
    }

    server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, json>> m_objects;
    std::vector<change> m_changes;
    int m_revision = 10;
    bool m_isSilent = false;
};

// Whether a router answers its readiness question with 200.
inline bool isReady(const std::string& host, int port)
{
    const int socket = connectTo(host, port);
    if (socket < 0)
        return false;
    sendAll(socket, "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    reader input(socket);
    const auto head = input.readHead();
    ::close(socket);
    return head && head->status() == 200;
}

inline bool awaitReady(const std::string& host, int port, int seconds)
{
    for (const auto end = steady::now() + std::chrono::seconds(seconds); steady::now() < end; sleepMs(50)) {
        if (isReady(host, port))
            return true;
    }
    return false;
}

// The object of an upstream's entry in the store.
inline json serverEntry(const std::string& service, int port, const std::string& state, const std::string& version, std::int64_t born, int slots)
{
    return { { "Service", service }, { "Address", "127.0.0.1:" + std::to_string(port) }, { "Zone", "z1" }, { "Version", version }, { "Slots", slots }, { "State", state }, { "ColdLeftMs", 0 }, { "Sequence", 1 }, { "born", born } };
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// The limits of the site nkabom-rounds.
inline json limits()
{
    return { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 4194304 }, { "HeaderTimeoutMs", 3000 }, { "IdleTimeoutMs", 15000 } };
}

} // namespace stand_in
