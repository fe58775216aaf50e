// A crowd of clients sends bodies of legal size, each in one piece and short of its end, to a path without a route. The script adds up
// the resident memory of the router and the bytes that its connections have received and it has not read.

#include "site.h"

#include <sstream>
#include <sys/resource.h>

namespace {

using namespace world;

constexpr int machineMb = 110;
constexpr int crowdSize = 2800;
constexpr std::size_t bodyBytes = 4194304;
constexpr int crowdFromMs = 2000;
constexpr int crowdForMs = 8000;

// The bytes that wait unread in the accepted connections of a port.
long unreadBytes(int port)
{
    std::ifstream connections("/proc/net/tcp");
    std::string line;
    char local[32];
    std::snprintf(local, sizeof local, "0100007F:%04X", port);
    long sum = 0;
    while (std::getline(connections, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string address;
        std::string remote;
        std::string state;
        std::string queues;
        std::string skipped;
        std::string inode;
        fields >> number >> address >> remote >> state >> queues >> skipped >> skipped >> skipped >> skipped >> inode;
        // A connection without an inode has not been accepted.
        if (address == local && state != "0A" && inode != "0")
            sum += std::strtol(queues.substr(queues.find(':') + 1).c_str(), nullptr, 16);
    }
    return sum;
}

class client {
public:
    client(int port, int number)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
        , m_head("POST /nowhere/ HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: crowd-" + std::to_string(number) + "\r\nX-Deadline-Ms: 20000\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n")
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS)
            m_isOver = true;
    }
    ~client() { ::close(m_socket); }
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // Sends what the connection takes, but for the last byte.
    void play(const std::string& body)
    {
        if (m_isOver)
            return;
        const auto total = m_head.size() + bodyBytes - 1;
        while (m_sent < total) {
            const bool isHead = m_sent < m_head.size();
            const char* bytes = isHead ? m_head.data() + m_sent : body.data();
            const auto size = isHead ? m_head.size() - m_sent : std::min(body.size(), total - m_sent);
            const auto sent = ::send(m_socket, bytes, size, MSG_NOSIGNAL);
            if (sent <= 0) {
                m_isOver = errno != EAGAIN && errno != ENOTCONN;
                return;
            }
            m_sent += static_cast<std::size_t>(sent);
        }
    }

private:
    int m_socket;
    std::string m_head;
    std::size_t m_sent = 0;
    bool m_isOver = false;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 4)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    rlimit files {};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    if (::setrlimit(RLIMIT_NOFILE, &files) != 0 || files.rlim_max < 4096)
        return 2;
    record log(arguments[3]);
    store platform;
    plain_worker worker("i-app-1", 15, log);
    platform.objects["config"] = { { "main", configSpec() } };
    platform.objects["servers"] = { { worker.id(), worker.spec() } };
    router tested(arguments[1], arguments[2], platform.port(), machineMb);
    if (!tested.awaitReady())
        return 2;
    const long bound = machineMb * 1000000L;
    long highest = 0;
    long highestResident = 0;
    long highestUnread = 0;
    int overBound = 0;
    const auto measure = [&] {
        const long resident = tested.memoryKb("VmRSS") * 1024;
        const long unread = unreadBytes(tested.front);
        log.line("router resident " + std::to_string(resident) + ", received and not read " + std::to_string(unread) + " bytes");
        highest = std::max(highest, resident + unread);
        highestResident = std::max(highestResident, resident);
        highestUnread = std::max(highestUnread, unread);
        overBound += resident + unread > bound ? 1 : 0;
    };
    const auto start = nowMs();
    const std::string body(65536, 'x');
    std::vector<std::unique_ptr<client>> crowd;
    crowd.reserve(crowdSize);
    auto measureAt = start;
    while (nowMs() < start + crowdFromMs + crowdForMs) {
        if (hasTrouble() && crowd.empty() && nowMs() >= start + crowdFromMs) {
            for (int number = 0; number < crowdSize; ++number)
                crowd.push_back(std::make_unique<client>(tested.front, number));
        }
        for (auto& item : crowd)
            item->play(body);
        if (nowMs() >= measureAt) {
            measure();
            measureAt = nowMs() + 100;
        }
        sleepMs(2);
    }
    channel ordinary;
    message answer;
    const auto until = nowMs() + 3000;
    const bool isServed = ordinary.connect(tested.front) && ordinary.send(requestHead("GET", "/lookup/x", "ordinary-1", 1000) + "\r\n", until) && ordinary.receive(answer, until) && answer.status() == 200;
    const bool isRunning = tested.isRunning();
    tested.stop();
    const auto text = "resident at most " + std::to_string(highestResident) + " bytes, received and not read at most " + std::to_string(highestUnread) + ", both together at most " + std::to_string(highest) + "; the machine has " + std::to_string(bound) + "; over it in "
        + std::to_string(overBound) + " samples of one each 100 ms; crowd of " + std::to_string(crowd.size()) + " clients; an ordinary request afterwards is " + (isServed ? "served" : "not served") + "; the process " + (isRunning ? "runs" : "has ended");
    log.line(text);
    std::puts(text.c_str());
    return overBound > 0 || !isRunning ? 1 : 0;
}
