// A crowd of clients sends bodies of legal size very slowly, to a path without a route. Consumers open channels beside them, and the
// platform asks once a second, on a channel that it keeps, whether the router is ready.

#include "site.h"

#include <fcntl.h>
#include <sys/resource.h>

namespace {

using namespace world;

constexpr int machineMb = 260;
constexpr int machineFds = 4100;
// The clients of the crowd that the router accepts at most, of three quarters of its descriptors, and further ones that wait.
constexpr int waitingClients = 1424;
constexpr int crowdFromMs = 4000;
constexpr int crowdForMs = 14000;
constexpr int afterMs = 10000;
// Each client sends this much at a time, and is slower than 2 KB a second.
constexpr std::size_t pieceBytes = 600;
constexpr int pieceIntervalMs = 400;
// ContactMs of the site. Seven consumers or more have to try.
constexpr int contactMs = 3000;
constexpr int consumers = 8;
constexpr int consumerPauseMs = 200;
constexpr int consumerDeadlineMs = 1500;

// One client of the crowd; it opens a new connection whenever its own has ended.
class slow_client {
public:
    slow_client(int port, int number)
        : m_port(port)
        , m_number(number)
    {
    }
    ~slow_client() { close(); }

    void play(long long now)
    {
        if (now < m_nextAt)
            return;
        m_nextAt = now + pieceIntervalMs;
        if (m_socket < 0)
            return open();
        char byte[256];
        const auto received = ::recv(m_socket, byte, sizeof byte, MSG_DONTWAIT);
        if (received == 0 || (received < 0 && errno != EAGAIN && errno != ENOTCONN))
            return close();
        const auto piece = m_sent == 0 ? head() : std::string(pieceBytes, 'x');
        const auto size = ::send(m_socket, piece.data(), piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (size < 0 && errno != EAGAIN && errno != ENOTCONN)
            return close();
        m_sent += size > 0 ? static_cast<std::size_t>(size) : 0;
    }

    bool hasSent() const { return m_sent > 0; }

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
        m_sent = 0;
    }

private:
    void open()
    {
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(m_port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS)
            close();
    }

    std::string head() const
    {
        return "POST /nowhere/ HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: crowd-" + std::to_string(m_number) + "\r\nX-Deadline-Ms: 20000\r\nContent-Length: 100000\r\n\r\n";
    }

    int m_port;
    int m_number;
    int m_socket = -1;
    std::size_t m_sent = 0;
    long long m_nextAt = 0;
};

struct counts {
    std::atomic<int> sent = 0;
    std::atomic<int> connected = 0;
    std::atomic<int> served = 0;
};

// Whether a new channel is established within a second, the time that a consumer allows.
int connectWithin(int port, int timeMs)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    pollfd waited { socket, POLLOUT, 0 };
    int failure = 0;
    socklen_t size = sizeof failure;
    const bool isOpen = ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 || ::poll(&waited, 1, timeMs) == 1;
    if (isOpen && ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) == 0 && failure == 0)
        return socket;
    ::close(socket);
    return -1;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 4)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    rlimit files {};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    // Where fewer descriptors are allowed, the machine has fewer.
    const int fds = static_cast<int>(std::min<rlim_t>(machineFds, files.rlim_max > 2000 ? (files.rlim_max - 2000) * 4 / 3 : 0));
    if (::setrlimit(RLIMIT_NOFILE, &files) != 0 || fds < 300)
        return 2;
    const int crowdSize = fds * 3 / 4 + waitingClients;
    record log(arguments[3]);
    store platform;
    plain_worker worker("i-app-1", 15, log);
    platform.objects["config"] = { { "main", configSpec({ .deadlineMs = consumerDeadlineMs, .aimMs = 300 }) } };
    platform.objects["servers"] = { { worker.id(), worker.spec() } };
    router tested(arguments[1], arguments[2], platform.port(), machineMb, fds);
    if (!tested.awaitReady())
        return 2;
    const auto start = nowMs();
    const auto crowdStart = start + crowdFromMs;
    const auto crowdEnd = crowdStart + crowdForMs;
    const auto end = crowdEnd + afterMs;
    counts before;
    counts beside;
    counts after;
    // When consumers got new channels, and when the router did not say that it is ready.
    std::mutex timesMutex;
    std::set<long long> channelTimes { crowdStart, crowdEnd };
    std::set<long long> notReadyTimes;
    std::vector<std::thread> threads;
    threads.reserve(consumers + 2);
    for (int number = 0; number < consumers; ++number) {
        threads.emplace_back([&, number] {
            for (int count = 0; nowMs() < end; ++count) {
                const auto sentAt = nowMs();
                // In the first two seconds the crowd arrives.
                auto& item = sentAt < crowdStart ? before : (sentAt >= crowdStart + 2000 && sentAt < crowdEnd ? beside : after);
                const auto id = "consumer-" + std::to_string(number) + "-" + std::to_string(count);
                const int socket = connectWithin(tested.front, 1000);
                message answer;
                const auto until = sentAt + consumerDeadlineMs;
                channel connection(socket);
                const bool isAnswered = socket >= 0 && connection.send(requestHead("GET", "/lookup/x", id, consumerDeadlineMs) + "\r\n", until) && connection.receive(answer, until);
                ++item.sent;
                item.connected += socket >= 0 ? 1 : 0;
                item.served += isAnswered && answer.status() == 200 ? 1 : 0;
                if (socket >= 0) {
                    const std::lock_guard guard(timesMutex);
                    channelTimes.insert(nowMs());
                }
                log.line("consumer " + id + (socket < 0 ? std::string(" got no channel within 1 s") : (isAnswered ? " answered " + std::to_string(answer.status()) : std::string(" had a channel and got no answer"))) + " after " + std::to_string(nowMs() - sentAt) + " ms");
                sleepMs(consumerPauseMs);
            }
        });
    }
    std::atomic<int> crowdActive = 0;
    if (hasTrouble()) {
        threads.emplace_back([&] {
            sleepMs(crowdStart - nowMs());
            std::vector<std::unique_ptr<slow_client>> crowd;
            crowd.reserve(static_cast<std::size_t>(crowdSize));
            for (int number = 0; number < crowdSize; ++number)
                crowd.push_back(std::make_unique<slow_client>(tested.front, number));
            while (nowMs() < crowdEnd) {
                int active = 0;
                for (auto& client : crowd) {
                    client->play(nowMs());
                    active += client->hasSent() ? 1 : 0;
                }
                crowdActive = std::max<int>(crowdActive, active);
                sleepMs(5);
            }
        });
    }
    channel readiness;
    int ready = 0;
    int notReady = 0;
    int channelsEnded = 0;
    while (nowMs() < end) {
        const auto askedAt = nowMs();
        const auto until = askedAt + 900;
        message answer;
        if (!readiness.isOpen())
            readiness.connect(tested.ready);
        const bool isAnswered = readiness.isOpen() && readiness.send("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n", until) && readiness.receive(answer, until);
        const bool isReady = isAnswered && answer.status() == 200;
        if (!isAnswered) {
            readiness.close();
            ++channelsEnded;
        }
        if (askedAt >= crowdStart && askedAt < crowdEnd)
            ++(isReady ? ready : notReady);
        log.line(std::string("readyz ") + (isAnswered ? std::to_string(answer.status()) : std::string("no answer")));
        if (!isReady) {
            const std::lock_guard guard(timesMutex);
            notReadyTimes.insert(askedAt);
        }
        sleepMs(std::max(0LL, askedAt + 1000 - nowMs()));
    }
    for (auto& thread : threads)
        thread.join();
    const bool isRunning = tested.isRunning();
    tested.stop();
    // The longest time beside the crowd in which no consumer got a channel while the router said that it is ready.
    long long longestClosed = 0;
    for (auto from = channelTimes.find(crowdStart); *from != crowdEnd; ++from) {
        const auto to = *std::next(from);
        const auto notReadyAt = notReadyTimes.lower_bound(*from);
        if (notReadyAt == notReadyTimes.end() || *notReadyAt > to)
            longestClosed = std::max(longestClosed, to - *from);
    }
    const auto describe = [](const char* name, const counts& item) {
        return std::string(name) + ": tried " + std::to_string(item.sent) + ", got a channel within 1 s " + std::to_string(item.connected) + ", answered with success " + std::to_string(item.served) + "; ";
    };
    const auto text = describe("before the crowd", before) + describe("beside it", beside) + describe("after it", after) + "longest time without a new channel while ready " + std::to_string(longestClosed) + " ms; readiness beside the crowd: "
        + std::to_string(ready) + " times 200, " + std::to_string(notReady) + " times not, " + std::to_string(channelsEnded) + " channels ended; crowd: " + std::to_string(crowdActive) + " clients had sent at once; the process " + (isRunning ? "runs" : "has ended");
    log.line(text);
    std::puts(text.c_str());
    if (before.served < before.sent)
        return 2;
    return longestClosed > contactMs || !isRunning ? 1 : 0;
}
