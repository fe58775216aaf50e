#pragma once

// What cases 13 and 14 share: the platform's bound on a process's memory, and ordinary callers whose requests are at sound workers while a
// crowd comes.

#include "stand_in.hpp"

#include <csignal>

namespace stand_in {

constexpr int ordinaryCallers = 20;
constexpr int ordinaryBytes = 17000;
constexpr int firstEventMs = 3500;
constexpr int ordinaryEvents = 5;
// LOST: more than three times.
constexpr int allowedLosses = 3;

inline json digestRoute()
{
    return { { "Name", "sermon-digest" }, { "Host", "h.example" }, { "PathPrefix", "/digest/" }, { "Kind", "streaming" }, { "Resumable", true }, { "Affinity", true }, { "GapTargetMs", 800 }, { "TimeoutMs", 12000 }, { "SloMs", 2000 }, { "Priority", 2 }, { "MaxAttempts", 2 }, { "Service", "llm" } };
}

inline json modelService()
{
    const json engine { { "Slots", 64 }, { "KvCapacity", 438321 }, { "Stride", 3 } };
    return { { "Name", "llm" }, { "HealthPath", "/healthz" }, { "MaxConns", 360 }, { "Engine", engine } };
}

inline std::string chunkOf(const std::string& bytes)
{
    char size[16] = {};
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

// Answers a request with a stream of so many events. Returns whether it was sent to its end.
inline bool sendStream(int socket, const std::string& id, int events, int eventMs)
{
    bool isWhole = sendAll(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int number = 1; number <= events && isWhole; ++number) {
        sleepMs(eventMs);
        isWhole = sendAll(socket, chunkOf("id: " + std::to_string(number) + "\ndata: x\n\n"));
    }
    return isWhole && sendAll(socket, "0\r\n\r\n");
}

// The platform kills a process that exceeds its machine's memory. Megabytes are taken as the larger ones.
class memory_bound {
public:
    memory_bound(record& notes, const std::string& pid, long memoryMb)
        : m_notes(notes)
        , m_pid(pid)
        , m_boundKb(memoryMb * 1024)
    {
        std::thread([this] { watch(); }).detach();
    }

    bool hasKilled() const { return m_killed; }
    long highestKb() const { return m_highest; }

private:
    long residentKb() const
    {
        std::ifstream file("/proc/" + m_pid + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("VmRSS:"))
                return std::atol(line.substr(6).c_str());
        }
        return 0;
    }

    void watch()
    {
        while (!m_killed) {
            const auto resident = residentKb();
            m_highest = std::max(m_highest.load(), resident);
            if (resident > m_boundKb) {
                m_notes.write("the platform kills the router: " + std::to_string(resident) + " KB, the machine has " + std::to_string(m_boundKb) + " KB");
                ::kill(static_cast<pid_t>(std::atoi(m_pid.c_str())), SIGKILL);
                m_killed = true;
            }
            sleepMs(10);
        }
    }

    record& m_notes;
    std::string m_pid;
    long m_boundKb;
    std::atomic<long> m_highest = 0;
    std::atomic<bool> m_killed = false;
};

// The ids of the requests that have reached workers.
class arrivals {
public:
    void add(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        m_ids.insert(id);
    }

    bool contains(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        return m_ids.contains(id);
    }

    std::size_t size()
    {
        const std::lock_guard lock(m_mutex);
        return m_ids.size();
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_ids;
};

enum class ending { whole,
    broken_off,
    closed_without_answer,
    refused };

// An ordinary caller: one request with a prompt of the sheet's mean size.
inline ending askOrdinary(const std::string& host, int front, const std::string& id, int number)
{
    const int socket = connectTo(host, front);
    if (socket < 0)
        return ending::refused;
    char prefix[64] = {};
    std::snprintf(prefix, sizeof prefix, "%x:13300,%x:3720", 0x1000 + number % 8, 0x90000 + number);
    sendAll(socket, "POST /digest/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nAuthorization: Bearer key1\r\nX-Model: m\r\nX-Token-Usage: 17020,120\r\nX-Prompt-Prefix: " + prefix + "\r\nX-Deadline-Ms: 12000\r\nContent-Length: " + std::to_string(ordinaryBytes) + "\r\n\r\n" + std::string(ordinaryBytes, 'b'));
    reader input(socket);
    auto result = ending::closed_without_answer;
    if (const auto head = input.readHead()) {
        result = head->status() == 200 ? ending::broken_off : ending::refused;
        while (head->status() == 200) {
            const auto chunk = input.readChunk();
            if (chunk && chunk->empty())
                result = ending::whole;
            if (!chunk || chunk->empty())
                break;
        }
    }
    ::close(socket);
    return result;
}

// The ordinary callers, one thread each.
class ordinary_callers {
public:
    ordinary_callers(const std::string& host, int front)
        : m_endings(ordinaryCallers, ending::refused)
    {
        for (int number = 0; number < ordinaryCallers; ++number)
            m_threads.emplace_back([this, host, front, number] { m_endings[static_cast<std::size_t>(number)] = askOrdinary(host, front, "o" + std::to_string(number), number); });
    }

    // Waits for all, and ends the process with the verdict of LOST.
    [[noreturn]] void judge(record& notes, arrivals& reached, const memory_bound& bound)
    {
        static constexpr const char* names[] = { "answered whole", "broken off", "closed without an answer", "refused" };
        for (auto& thread : m_threads)
            thread.join();
        int lost = 0;
        int passedOn = 0;
        for (int number = 0; number < ordinaryCallers; ++number) {
            const auto result = m_endings[static_cast<std::size_t>(number)];
            const auto id = "o" + std::to_string(number);
            const bool isPassedOn = reached.contains(id);
            const bool isLost = isPassedOn && result == ending::closed_without_answer;
            passedOn += isPassedOn ? 1 : 0;
            lost += isLost ? 1 : 0;
            notes.write(id + ": " + (isPassedOn ? "passed on to a worker, " : "not passed on, ") + names[static_cast<int>(result)] + (isLost ? "  <- lost" : ""));
        }
        notes.write("highest resident memory of the router: " + std::to_string(bound.highestKb()) + " KB; " + (bound.hasKilled() ? "it was killed" : "it was not killed"));
        notes.write(std::to_string(lost) + " requests were passed on and their channels closed without an answer; the rule allows " + std::to_string(allowedLosses));
        if (passedOn == 0)
            finish(exitNotRun);
        finish(lost > allowedLosses ? exitBroken : exitHeld);
    }

private:
    std::vector<ending> m_endings;
    std::vector<std::thread> m_threads;
};

// Splits HOST:FRONT:READY.
struct router_address {
    std::string host;
    int front = 0;
    int ready = 0;

    explicit router_address(const std::string& text)
    {
        std::istringstream parts(text);
        std::string number;
        std::getline(parts, host, ':');
        std::getline(parts, number, ':');
        front = std::atoi(number.c_str());
        std::getline(parts, number, ':');
        ready = std::atoi(number.c_str());
    }
};

} // namespace stand_in
