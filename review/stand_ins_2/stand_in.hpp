// Small stand-ins for what surrounds the routers: the platform's store, workers and callers, on loopback addresses, and functions that
// start and end router processes. Each connection has a thread. Used by the cases 6 to 10.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <memory>
#include <utility>
#include <unistd.h>
#include <vector>

namespace stand_in {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const steady::time_point started = steady::now();
// A case runs for 120 s at most.
constexpr long maxRunMs = 112000;

inline long nowMs() { return std::chrono::duration_cast<milliseconds>(steady::now() - started).count(); }
inline void sleepMs(long span) { std::this_thread::sleep_for(milliseconds(span)); }
inline void sleepUntilMs(long time)
{
    if (time > nowMs())
        sleepMs(time - nowMs());
}

// Writes what was sent, answered and run, with the milliseconds since the start.
class record_file {
public:
    void open(const std::string& path) { m_file.open(path, std::ios::trunc); }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << nowMs() << " " << text << "\n";
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline record_file record;

// A case that could not run ends with 2.
[[noreturn]] inline void giveUp(const std::string& reason);
inline void removeWorkFolder();

struct message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    // The connection ended before the message did.
    bool complete = false;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const auto from = startLine.find(' ') + 1;
        return startLine.substr(from, startLine.find(' ', from) - from);
    }
    int status() const { return startLine.size() > 9 ? std::atoi(startLine.c_str() + 9) : 0; }
};

// A blocking connection with a read buffer.
class connection {
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    void close()
    {
        const int descriptor = m_descriptor.exchange(-1);
        if (descriptor >= 0)
            ::close(descriptor);
    }
    // Ends the connection from another thread.
    void shut() { ::shutdown(m_descriptor, SHUT_RDWR); }
    int descriptor() const { return m_descriptor; }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    // Whether the other side has closed the connection.
    bool isClosed()
    {
        char byte = 0;
        pollfd waiting { m_descriptor, POLLIN, 0 };
        return ::poll(&waiting, 1, 0) > 0 && ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    // Reads more bytes; false at the end, at an error and after the deadline.
    bool fill(long deadline)
    {
        pollfd waiting { m_descriptor, POLLIN, 0 };
        const long left = deadline - nowMs();
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[65536];
        const auto size = ::recv(m_descriptor, bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    // Reads one request or answer. An answer that has neither a length nor chunks ends with the connection.
    bool read(message& result, long deadline, bool isAnswer, const std::function<void(const std::string&)>& onBody = {})
    {
        result = {};
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return false;
        }
        std::istringstream head(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        result.startLine = line.substr(0, line.find('\r'));
        while (std::getline(head, line)) {
            line = line.substr(0, line.find('\r'));
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
            result.headers.emplace_back(line.substr(0, colon), value);
        }
        if (result.header("Transfer-Encoding") == "chunked")
            result.complete = readChunks(result, deadline, onBody);
        else if (!result.header("Content-Length").empty())
            result.complete = readLength(result, std::strtoul(result.header("Content-Length").c_str(), nullptr, 10), deadline);
        else if (isAnswer)
            result.complete = readToEnd(result, deadline);
        else
            result.complete = true;
        return true;
    }

private:
    bool readLength(message& result, std::size_t size, long deadline)
    {
        while (m_buffer.size() < size) {
            if (!fill(deadline))
                return false;
        }
        result.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

    bool readToEnd(message& result, long deadline)
    {
        while (fill(deadline)) { }
        result.body = std::exchange(m_buffer, {});
        return true;
    }

    bool readChunks(message& result, long deadline, const std::function<void(const std::string&)>& onBody)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(deadline))
                    return false;
            }
            const auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!fill(deadline))
                    return false;
            }
            const auto chunk = m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
            result.body += chunk;
            if (onBody)
                onBody(chunk);
        }
    }

    std::atomic<int> m_descriptor;
    std::string m_buffer;
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

inline int openListener(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(descriptor, 512) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

inline int portOf(int descriptor)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

// A port that was free a moment ago, for TCP and UDP.
inline int freePort()
{
    const int descriptor = openListener(0);
    const int port = portOf(descriptor);
    ::close(descriptor);
    return port;
}

inline std::unique_ptr<connection> dial(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

// Accepts connections and reads requests; the handler answers them on the connection and returns whether it stays open.
class server {
public:
    using handler = std::function<bool(connection&, const message&)>;

    explicit server(handler onRequest)
        : m_onRequest(std::move(onRequest))
    {
    }
    ~server() { stop(); }

    int port() const { return m_port; }

    // Listens, at the same port as before if it was stopped.
    void start()
    {
        m_listener = openListener(m_port);
        if (m_listener < 0)
            giveUp("a port can't be opened");
        m_port = portOf(m_listener);
        m_acceptor = std::thread([this, listener = m_listener.load()] {
            for (;;) {
                const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (descriptor < 0)
                    return;
                std::thread([this, descriptor] { serve(descriptor); }).detach();
            }
        });
    }

    // Closes the port and all connections at once, as when the process is killed.
    void stop()
    {
        if (m_listener < 0)
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener.exchange(-1));
        const std::lock_guard lock(m_mutex);
        for (auto* item : m_connections)
            item->shut();
    }

private:
    void serve(int descriptor)
    {
        connection served(descriptor);
        {
            const std::lock_guard lock(m_mutex);
            m_connections.insert(&served);
        }
        message request;
        while (served.read(request, nowMs() + 3600000, false) && request.complete && m_onRequest(served, request)) { }
        const std::lock_guard lock(m_mutex);
        m_connections.erase(&served);
    }

    handler m_onRequest;
    std::atomic<int> m_listener { -1 };
    int m_port = 0;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<connection*> m_connections;
};

// The platform's store: objects by kind and name, lists and watches.
class store {
public:
    store()
        : m_server([this](connection& from, const message& request) { return serve(from, request); })
    {
        m_server.start();
    }

    int port() const { return m_server.port(); }

    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard lock(m_mutex);
        m_objects[kind][name] = { ++m_revision, spec };
        m_history.push_back({ kind, m_revision, false, format(name, m_objects[kind][name]) });
        m_changed.notify_all();
    }

    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        m_objects[kind].erase(name);
        ++m_revision;
        m_history.push_back({ kind, m_revision, true, format(name, { m_revision, "null" }) });
        m_changed.notify_all();
    }

    // Cuts off the watches that are waiting.
    void cutWatches()
    {
        const std::lock_guard lock(m_mutex);
        for (auto* item : m_watchers)
            item->shut();
    }

    // While down, the store resets each connection instead of an answer.
    void setDown(bool down)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_down = down;
        }
        if (down)
            cutWatches();
    }

private:
    struct object {
        long revision = 0;
        std::string spec;
    };
    struct change {
        std::string kind;
        long revision = 0;
        bool removed = false;
        std::string text;
    };

    static std::string format(const std::string& name, const object& item)
    {
        return "{\"Metadata\":{\"Name\":\"" + name + "\",\"Revision\":" + std::to_string(item.revision) + ",\"Created\":1,\"Finalizers\":[],\"DeletionPending\":false},\"Spec\":" + item.spec + ",\"Status\":null}";
    }

    static bool answer(connection& to, int status, const std::string& body)
    {
        return to.send("HTTP/1.1 " + std::to_string(status) + " X\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto at = target.find(name + "=");
        return at == std::string::npos ? "" : target.substr(at + name.size() + 1, target.find('&', at) - at - name.size() - 1);
    }

    bool serve(connection& from, const message& request)
    {
        std::unique_lock lock(m_mutex);
        if (m_down)
            return false;
        const auto target = request.target();
        const std::string prefix = "/objects/";
        auto kind = target.substr(prefix.size(), target.find('?') - prefix.size());
        if (request.method() != "GET")
            return write(lock, from, request, kind);
        if (target.find("Watch=") != std::string::npos)
            return watch(lock, from, kind, std::atol(parameter(target, "Watch").c_str()), std::atol(parameter(target, "WaitMs").c_str()));
        std::string items;
        for (const auto& [name, item] : m_objects[kind])
            items += (items.empty() ? "" : ",") + format(name, item);
        const auto body = "{\"Items\":[" + items + "],\"HasMore\":false,\"At\":" + std::to_string(m_revision) + "}";
        lock.unlock();
        return answer(from, 200, body);
    }

    bool watch(std::unique_lock<std::mutex>& lock, connection& from, const std::string& kind, long since, long waitMs)
    {
        m_watchers.insert(&from);
        const auto until = steady::now() + milliseconds(waitMs);
        std::string events;
        do {
            for (const auto& item : m_history) {
                if (item.kind == kind && item.revision > since)
                    events += std::string(events.empty() ? "" : ",") + "{\"Deleted\":" + (item.removed ? "true" : "false") + ",\"Object\":" + item.text + "}";
            }
        } while (events.empty() && m_changed.wait_until(lock, until) == std::cv_status::no_timeout);
        m_watchers.erase(&from);
        const auto body = "{\"events\":[" + events + "],\"At\":" + std::to_string(m_revision) + "}";
        lock.unlock();
        return answer(from, 200, body);
    }

    // The system keeps objects of its own there. Their names stand in the path or under Metadata.
    bool write(std::unique_lock<std::mutex>& lock, connection& from, const message& request, std::string kind)
    {
        std::string name;
        if (const auto slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        } else if (const auto at = request.body.find("\"Name\":\""); at != std::string::npos)
            name = request.body.substr(at + 8, request.body.find('"', at + 8) - at - 8);
        const bool exists = m_objects[kind].contains(name);
        int status = 200;
        if (request.method() == "DELETE")
            status = m_objects[kind].erase(name) > 0 ? 200 : 404;
        else if (exists != (request.method() == "PUT"))
            status = exists ? 409 : 404;
        else {
            const auto spec = request.body.find("\"Spec\":");
            const auto open = request.body.find('{', spec);
            m_objects[kind][name] = { ++m_revision, request.body.substr(open, request.body.find('}', open) - open + 1) };
        }
        lock.unlock();
        return answer(from, status, "{}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::vector<change> m_history;
    std::set<connection*> m_watchers;
    long m_revision = 0;
    bool m_down = false;
    server m_server;
};

// Router processes that the case has started.
inline std::set<pid_t> routers;
inline std::mutex routersMutex;
inline std::string routerCommand;
inline std::string workFolder;

inline void endRouters()
{
    const std::lock_guard lock(routersMutex);
    for (const auto pid : routers) {
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    routers.clear();
}

inline void giveUp(const std::string& reason)
{
    std::cerr << "the case can't run: " << reason << std::endl;
    record.line("can't run: " + reason);
    endRouters();
    removeWorkFolder();
    std::_Exit(2);
}

inline void removeWorkFolder()
{
    std::error_code ignored;
    if (!workFolder.empty() && !std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(workFolder, ignored);
}

[[noreturn]] inline void finish(bool broken, const std::string& summary)
{
    record.line(std::string(broken ? "BROKEN " : "held ") + summary);
    std::cout << (broken ? "broken: " : "held: ") << summary << std::endl;
    endRouters();
    removeWorkFolder();
    std::_Exit(broken ? 1 : 0);
}

struct router_options {
    std::string name = "frontend-a-1";
    std::string zone = "a";
    std::string ip = "127.0.0.1";
    int memoryMb = 110;
    std::string seeds = "";
    int storePort = 0;
    int peerPort = 0;
};

struct router {
    router_options options;
    int callers = 0;
    int ready = 0;
    pid_t pid = 0;
};

// Starts the program of the deploy file with a settings file as the platform writes it.
inline void launch(router& started)
{
    const auto& options = started.options;
    if (started.callers == 0) {
        started.callers = freePort();
        started.ready = freePort();
    }
    const auto path = workFolder + "/" + options.name + ".json";
    std::ofstream(path) << "{\"NodeName\":\"" << options.name << "\",\"Role\":\"entry\",\"MachineClass\":\"frontend\",\"Serves\":[\"frontend\",\"control_plane\"],\"Ip\":\"" << options.ip << "\",\"Zone\":\"" << options.zone
                        << "\",\"Region\":\"r\",\"Listen\":{\"Front\":\"127.0.0.1:" << started.callers << "\",\"Ready\":\"127.0.0.1:" << started.ready << "\"},\"InternalPorts\":[" << options.peerPort << "," << options.peerPort + 1
                        << "],\"Seeds\":[" << options.seeds << "],\"Bootstrap\":true,\"Limits\":{\"CpuShare\":0.19,\"Cores\":1,\"MemoryMb\":" << options.memoryMb << ",\"MaxFds\":4100,\"LinkMbps\":1000.0,\"DiskMb\":0},\"DataDir\":null,\"Discovery\":\"platform\",\"Entry\":\"vip\",\"HeartbeatMs\":1200,"
                        << "\"Bounds\":{\"SeedLagS\":3,\"ReuseAfterS\":2,\"ContactMs\":3000,\"AckMs\":4000,\"SyncS\":4,\"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,\"ConfigDeadlineMs\":2000,\"RollbackSlackMs\":250,\"MaxStretchMs\":5000,\"StrictRevoke\":true,\"RevokeMs\":5000,\"BudgetRatio\":0.2,\"BudgetWindowS\":10,\"RetrySlack\":54,\"RecoveryS\":12,\"PassMs\":120,\"ReuseWindowS\":9.5},"
                        << "\"Platform\":{\"Address\":\"127.0.0.1:" << options.storePort << "\",\"form\":\"objects\",\"WritesPerS\":400,\"ReadsPerS\":2000,\"HistoryS\":20,\"ValueBytes\":1048576,\"TtlMinMs\":1000}}";
    const auto log = workFolder + "/" + options.name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        std::freopen(log.c_str(), "a", stdout);
        std::freopen(log.c_str(), "a", stderr);
        ::setenv("KUMQUATSPRING_SETTINGS", path.c_str(), 1);
        ::execl(routerCommand.c_str(), routerCommand.c_str(), static_cast<char*>(nullptr));
        std::_Exit(127);
    }
    started.pid = pid;
    const std::lock_guard lock(routersMutex);
    routers.insert(pid);
}

inline void killRouter(const router& killed)
{
    const std::lock_guard lock(routersMutex);
    ::kill(killed.pid, SIGKILL);
    ::waitpid(killed.pid, nullptr, 0);
    routers.erase(killed.pid);
}

inline bool isReady(const router& asked, long timeoutMs = 1000)
{
    const auto to = dial(asked.ready);
    message answer;
    return to && to->send("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n") && to->read(answer, nowMs() + timeoutMs, true) && answer.status() == 200;
}

inline void awaitReady(const router& asked)
{
    for (int tries = 0; tries < 200; ++tries) {
        if (isReady(asked))
            return;
        sleepMs(50);
    }
    giveUp("a router isn't ready after 10 s");
}

// Arguments of each case: the command of the deploy file, the folder of the case.
inline bool prepare(int count, char** arguments)
{
    if (count != 3) {
        std::cerr << "usage: " << arguments[0] << " ROUTER-COMMAND CASE-FOLDER\n";
        std::_Exit(2);
    }
    std::signal(SIGPIPE, SIG_IGN);
    routerCommand = arguments[1];
    record.open(std::string(arguments[2]) + "/record.txt");
    auto folder = (std::filesystem::temp_directory_path() / "review-case-XXXXXX").string();
    if (!::mkdtemp(folder.data()))
        giveUp("no temporary folder");
    workFolder = folder;
    std::thread([] {
        sleepUntilMs(maxRunMs);
        giveUp("it takes too long");
    }).detach();
    const char* trouble = std::getenv("TROUBLE");
    const bool isOn = !trouble || std::string(trouble) != "0";
    record.line(std::string("trouble ") + (isOn ? "1" : "0"));
    return isOn;
}

inline std::string workerSpec(const std::string& service, int port, const std::string& zone = "a", const std::string& version = "v1", const std::string& state = "ready", long born = 1, int slots = 64)
{
    return "{\"Service\":\"" + service + "\",\"Address\":\"127.0.0.1:" + std::to_string(port) + "\",\"Zone\":\"" + zone + "\",\"Version\":\"" + version + "\",\"Slots\":" + std::to_string(slots) + ",\"State\":\"" + state + "\",\"ColdLeftMs\":0,\"Sequence\":1,\"born\":" + std::to_string(born) + "}";
}

} // namespace stand_in
