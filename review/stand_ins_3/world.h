#pragma once

// The surroundings of one router, for the scripts of this review: the platform's store, workers and callers, all on loopback addresses.
// Each connection has a thread of its own; all times are those of the real clock.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const steady::time_point startedAt = steady::now();

inline long long nowMs()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - startedAt).count();
}

inline void sleepMs(long long time) { std::this_thread::sleep_for(milliseconds(time)); }

// Writes what was sent, answered and run, one line each.
class record {
public:
    // Starts the file anew. Other processes may append to it.
    explicit record(const std::string& path)
    {
        m_file.open(path, std::ios::trunc);
        m_file.close();
        m_file.open(path, std::ios::app);
    }

    void line(const std::string& text)
    {
        const std::lock_guard guard(m_mutex);
        m_file << nowMs() << " ms " << text << "\n";
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct message {
    std::string startLine;
    // Names in lower case.
    std::multimap<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string target() const
    {
        const auto first = startLine.find(' ');
        const auto second = startLine.find(' ', first + 1);
        return startLine.substr(first + 1, second - first - 1);
    }
    int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
};

// A blocking connection. Each function returns false once the connection is broken or the time is over.
class channel {
public:
    explicit channel(int socket = -1)
        : m_socket(socket)
    {
    }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    ~channel() { close(); }

    bool connect(int port)
    {
        close();
        m_socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
            const int on = 1;
            ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            return true;
        }
        close();
        return false;
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
        m_buffer.clear();
    }

    bool isOpen() const { return m_socket >= 0; }

    bool send(const std::string& bytes, long long untilMs = -1)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            if (!wait(POLLOUT, untilMs))
                return false;
            const auto size = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size < 0 && errno == EAGAIN)
                continue;
            if (size <= 0)
                return false;
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    // Whether the peer has closed the connection or broken it.
    bool isClosedByPeer()
    {
        char byte = 0;
        const auto size = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN);
    }

    bool receiveLine(std::string& line, long long untilMs)
    {
        for (;;) {
            const auto end = m_buffer.find("\r\n");
            if (end != std::string::npos) {
                line = m_buffer.substr(0, end);
                m_buffer.erase(0, end + 2);
                return true;
            }
            if (!fill(untilMs))
                return false;
        }
    }

    bool receiveBytes(std::string& bytes, std::size_t size, long long untilMs)
    {
        while (m_buffer.size() < size) {
            if (!fill(untilMs))
                return false;
        }
        bytes = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

    bool receiveHead(message& received, long long untilMs)
    {
        received = {};
        if (!receiveLine(received.startLine, untilMs))
            return false;
        std::string line;
        while (receiveLine(line, untilMs)) {
            if (line.empty())
                return true;
            const auto colon = line.find(':');
            auto name = line.substr(0, colon);
            for (auto& character : name)
                character = static_cast<char>(std::tolower(character));
            auto value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            received.headers.emplace(name, value);
        }
        return false;
    }

    // A message with a length or in chunks.
    bool receive(message& received, long long untilMs = -1)
    {
        return receiveHead(received, untilMs) && receiveBody(received, untilMs);
    }

    bool receiveBody(message& received, long long untilMs)
    {
        if (received.header("transfer-encoding") != "chunked")
            return receiveBytes(received.body, std::strtoul(received.header("content-length").c_str(), nullptr, 10), untilMs);
        for (;;) {
            std::string line;
            std::string chunk;
            if (!receiveLine(line, untilMs))
                return false;
            const auto size = std::strtoul(line.c_str(), nullptr, 16);
            if (size > 0 && !receiveBytes(chunk, size, untilMs))
                return false;
            if (!receiveLine(line, untilMs))
                return false;
            received.body += chunk;
            if (size == 0)
                return true;
        }
    }

private:
    bool wait(short event, long long untilMs)
    {
        pollfd waited { m_socket, event, 0 };
        const auto left = untilMs < 0 ? -1 : std::max(0LL, untilMs - nowMs());
        return ::poll(&waited, 1, static_cast<int>(left)) == 1;
    }

    bool fill(long long untilMs)
    {
        char bytes[65536];
        if (m_socket < 0 || !wait(POLLIN, untilMs))
            return false;
        const auto size = ::recv(m_socket, bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    int m_socket;
    std::string m_buffer;
};

// Serves each connection with the function, which returns when the connection is to be closed.
class server {
public:
    // On any free port, or on the given one.
    explicit server(std::function<void(channel&)> serve, int port = 0)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int reuse = 1;
        ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (::bind(m_socket, reinterpret_cast<const sockaddr*>(&address), size) != 0 || ::listen(m_socket, 1024) != 0)
            std::exit(2);
        ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        std::thread([socket = m_socket, serve = std::move(serve)] {
            for (;;) {
                const int accepted = ::accept(socket, nullptr, nullptr);
                if (accepted < 0)
                    continue;
                const int on = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([accepted, serve] {
                    channel connection(accepted);
                    serve(connection);
                }).detach();
            }
        }).detach();
    }

    int port() const { return m_port; }

private:
    int m_socket;
    int m_port = 0;
};

// A port of the kind that no process uses now.
inline int freePort(int type)
{
    const int socket = ::socket(AF_INET, type, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), size) != 0)
        std::exit(2);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

inline std::string answerText(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store: one configuration and the entries of the workers, none of which change.
class store {
public:
    // Objects as JSON, by kind.
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> objects;
    // While set, the store closes each channel instead of answering.
    std::atomic<bool> isDown = false;

    store()
        : m_server([this](channel& connection) { serve(connection); })
    {
    }

    int port() const { return m_server.port(); }

private:
    static constexpr int revision = 10;

    static std::string object(const std::string& name, const std::string& spec)
    {
        return "{\"Metadata\":{\"Name\":\"" + name + "\",\"Revision\":" + std::to_string(revision) + ",\"Created\":1,\"Finalizers\":[],\"DeletionPending\":false},\"Spec\":" + spec + ",\"Status\":null}";
    }

    void serve(channel& connection)
    {
        const std::string headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
        message request;
        while (connection.receive(request) && !isDown) {
            const auto target = request.target();
            const auto query = target.find('?');
            const auto kind = target.substr(9, query == std::string::npos ? std::string::npos : query - 9);
            const auto at = std::to_string(revision);
            if (request.startLine.rfind("GET ", 0) != 0) {
                connection.send(answerText(201, headers, object(kind, "{}")));
                continue;
            }
            const auto waits = target.find("WaitMs=");
            if (waits != std::string::npos) {
                const auto until = nowMs() + std::min(30000L, std::atol(target.c_str() + waits + 7));
                while (nowMs() < until && !isDown)
                    sleepMs(20);
                if (isDown)
                    return;
                connection.send(answerText(200, headers, "{\"events\":[],\"At\":" + at + "}"));
                continue;
            }
            std::string items;
            for (const auto& [name, spec] : objects[kind])
                items += (items.empty() ? "" : ",") + object(name, spec);
            connection.send(answerText(200, headers, "{\"Items\":[" + items + "],\"HasMore\":false,\"At\":" + at + "}"));
        }
    }

    server m_server;
};

// The router under test, as the deploy file starts it.
class router {
public:
    int front = freePort(SOCK_STREAM);
    int ready = freePort(SOCK_STREAM);

    // The command of the deploy file is run in the repository's root, which is the working directory.
    router(const std::string& folder, const std::string& command, int storePort, int memoryMb, int maxFds = 4100)
    {
        const auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        const auto path = folder + "/settings.json";
        std::ofstream(path) << "{\"NodeName\":\"frontend-bkk-a-1\",\"Role\":\"entry\",\"MachineClass\":\"frontend\",\"Serves\":[\"frontend\",\"control_plane\"],\"Ip\":\"127.0.0.1\","
                               "\"Zone\":\"bkk-a\",\"Region\":\"bkk\",\"Zones\":{\"bkk-a\":\"bkk\"},\"Listen\":{\"Front\":"
                            << address(front) << ",\"Ready\":" << address(ready) << ",\"Control\":" << address(freePort(SOCK_STREAM)) << "},\"InternalPorts\":[" << freePort(SOCK_DGRAM) << "],"
                            << "\"Seeds\":[],\"Bootstrap\":true,\"CountsTowardLoss\":false,\"Limits\":{\"CpuShare\":0.19,\"Cores\":1,\"MemoryMb\":" << memoryMb << ",\"MaxFds\":" << maxFds << ",\"LinkMbps\":1000.0,\"DiskMb\":0},"
                            << "\"DataDir\":null,\"Discovery\":\"platform\",\"Entry\":\"vip\",\"HeartbeatMs\":1200,\"Contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"],"
                            << "\"FaultTolerance\":{\"Machines\":2,\"Zones\":0,\"Regions\":0},"
                            << "\"Bounds\":{\"SeedLagS\":3,\"ReuseAfterS\":2,\"ContactMs\":3000,\"AckMs\":4000,\"SyncS\":4,\"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,\"ConfigDeadlineMs\":2000,\"RollbackSlackMs\":250,"
                               "\"MaxStretchMs\":5000,\"StrictRevoke\":true,\"RevokeMs\":5000,\"BudgetRatio\":0.2,\"BudgetWindowS\":10,\"RetrySlack\":54,\"RecoveryS\":12,\"PassMs\":120,\"ReuseWindowS\":9.5},"
                            << "\"Platform\":{\"Address\":" << address(storePort) << ",\"form\":\"objects\",\"WritesPerS\":400,\"ReadsPerS\":2000,\"HistoryS\":20,\"ValueBytes\":1048576,\"TtlMinMs\":1000}}";
        const auto log = folder + "/router.log";
        m_process = ::fork();
        if (m_process == 0) {
            // It ends with this process, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("KUMQUATSPRING_SETTINGS", path.c_str(), 1);
            if (!std::freopen(log.c_str(), "w", stdout) || !std::freopen((log + ".err").c_str(), "w", stderr))
                ::_exit(2);
            ::execl(command.c_str(), command.c_str(), nullptr);
            ::_exit(2);
        }
    }

    ~router() { stop(); }

    void stop()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = 0;
    }

    bool isRunning()
    {
        if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process)
            m_process = 0;
        return m_process > 0;
    }

    // One question of the platform, which takes no answer within a second for a miss.
    bool isReady(long long timeMs = 1000) const
    {
        channel connection;
        message answer;
        const auto until = nowMs() + timeMs;
        return connection.connect(ready) && connection.send("GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n", until) && connection.receive(answer, until) && answer.status() == 200;
    }

    bool awaitReady() const
    {
        for (int tries = 0; tries < 100; ++tries) {
            if (isReady())
                return true;
            sleepMs(100);
        }
        return false;
    }

    // Kilobytes of the status file's field, of 1,024 bytes.
    long memoryKb(const std::string& field) const
    {
        std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.rfind(field + ":", 0) == 0)
                return std::atol(line.c_str() + field.size() + 1);
        }
        return 0;
    }

private:
    pid_t m_process = 0;
};

} // namespace world
