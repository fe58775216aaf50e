#pragma once

#include "tests/soak/soak_record.h"
#include "tests/soak/soak_worker.h"

#include <chrono>
#include <httplib.h>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Repeats one request that crashes workers, up to four times at once, each at a router drawn by itself.
class soak_repeating_caller {
public:
    struct options {
        unsigned seed = 0;
        std::vector<int> routers;
        httplib::Headers headers;
    };

    soak_repeating_caller(options callerOptions, soak_record& record)
        : m_options(std::move(callerOptions))
        , m_record(record)
        , m_random(m_options.seed)
    {
    }

    void run(std::chrono::steady_clock::time_point end)
    {
        while (std::chrono::steady_clock::now() < end) {
            sendAtOnce(1 + m_random() % maxAtOnce);
            std::this_thread::sleep_for(std::chrono::milliseconds(50 + m_random() % 500));
        }
    }

private:
    static constexpr unsigned maxAtOnce = 4;

    void sendAtOnce(unsigned count)
    {
        std::vector<std::thread> threads;
        threads.reserve(count);
        for (unsigned number = 0; number < count; ++number) {
            const auto id = "repeat-" + std::to_string(m_options.seed) + "-" + std::to_string(m_requestCount++);
            const int port = m_options.routers[m_random() % m_options.routers.size()];
            threads.emplace_back([this, id, port] { send(id, port); });
        }
        for (auto& thread : threads)
            thread.join();
    }

    void send(const std::string& id, int port)
    {
        m_record.recordRouter(id, port);
        httplib::Client client("127.0.0.1", port);
        client.set_read_timeout(std::chrono::seconds(3));
        auto headers = m_options.headers;
        headers.emplace("X-Attempt-Id", id);
        headers.emplace("X-Prompt-Prefix", "c0:1000,a0:500,repeat:100");
        const auto result = client.Post("/stream/x", headers, soakCrashingBody, "text/plain");
        if (!result || result->status != 503)
            return;
        m_record.recordRefusal(id);
    }

    options m_options;
    soak_record& m_record;
    std::mt19937 m_random;
    int m_requestCount = 0;
};
