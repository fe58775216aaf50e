#pragma once

#include "tests/soak/soak_process_events.h"
#include "tests/soak/soak_record.h"
#include "tests/soak/soak_store.h"
#include "tests/soak/soak_worker.h"

#include <arpa/inet.h>
#include <chrono>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <random>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Silences the store right after a state has changed in it, in rounds: one or more silences, each aimed at a change, then a worker
// leaves. Routers that were in touch with the store must not send that worker requests later than the drain time.
class soak_silences {
public:
    struct options {
        unsigned seed = 0;
        // The UDP port at which the proxy takes requests for silences.
        int controlPort = 0;
        std::chrono::milliseconds drainTime { 0 };
        std::chrono::seconds duration { 0 };
        // The ports of the routers, by their numbers.
        std::vector<int> routers;
    };

    soak_silences(const options& silenceOptions, soak_store& store, std::vector<std::unique_ptr<soak_worker>>& workers, soak_record& record)
        : m_options(silenceOptions)
        , m_store(store)
        , m_workers(workers)
        , m_record(record)
        , m_random(silenceOptions.seed)
    {
    }

    void run()
    {
        const auto end = std::chrono::steady_clock::now() + m_options.duration;
        do {
            silenceStore();
            std::this_thread::sleep_for(contactTime);
            leave(m_random() % m_workers.size());
        } while (std::chrono::steady_clock::now() + longestRound <= end);
    }

    // Keeps a request that reached a worker late, until it is known what was done to its router.
    void recordLateRequest(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        m_lateRequests.push_back({ std::chrono::system_clock::now(), id });
    }

    // A router is in touch if nothing was done to its process for the contact time.
    void judge(const soak_process_events& events)
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& late : m_lateRequests) {
            const auto router = std::find(m_options.routers.begin(), m_options.routers.end(), m_record.routerOf(late.id)) - m_options.routers.begin();
            if (!events.wasDisturbed(static_cast<int>(router), late.time - contactTime, late.time))
                m_record.recordViolation("a worker that has left received", late.id);
        }
        std::cout << "silences=" << m_silences << " late=" << m_lateRequests.size() << std::endl;
    }

private:
    // After it has answered for this time, routers are in touch with the store.
    static constexpr auto contactTime = std::chrono::milliseconds(3000);
    static constexpr unsigned maxDelayMs = 100;
    static constexpr unsigned minSilenceMs = 500;
    static constexpr unsigned shortSilenceMs = 2500;
    static constexpr unsigned maxSilenceMs = 8000;
    static constexpr unsigned longSilenceOneIn = 4;
    // Of all silences in a round together.
    static constexpr auto maxSilence = std::chrono::milliseconds(10000);
    static constexpr auto lateRequestTime = std::chrono::milliseconds(1500);
    static constexpr auto longestRound = std::chrono::seconds(19);
    static constexpr auto maxWaitForLease = std::chrono::milliseconds(1000);

    struct late_request {
        std::chrono::system_clock::time_point time;
        std::string id;
    };

    void silenceStore()
    {
        std::chrono::milliseconds total(0);
        for (auto left = 1 + m_random() % 3; left > 0; --left) {
            const auto longest = m_random() % longSilenceOneIn == 0 ? maxSilenceMs : shortSilenceMs;
            const std::chrono::milliseconds span(minSilenceMs + m_random() % (longest - minSilenceMs));
            total += span;
            if (total > maxSilence)
                return;
            changeState();
            std::this_thread::sleep_for(std::chrono::milliseconds(m_random() % maxDelayMs));
            requestSilence(span);
            ++m_silences;
            std::this_thread::sleep_for(span + std::chrono::milliseconds(m_random() % 200));
        }
    }

    // A worker's record is written, a configuration is published, or a router has renewed its lease of the duties.
    void changeState()
    {
        switch (m_random() % 4) {
        case 0:
            m_store.publish();
            return;
        case 1:
            m_store.waitForDutyWrite(maxWaitForLease);
            return;
        default:
            m_store.changeSlots(static_cast<int>(m_random() % m_workers.size()));
        }
    }

    void requestSilence(std::chrono::milliseconds span) const
    {
        const int socket = ::socket(AF_INET, SOCK_DGRAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(m_options.controlPort));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const auto text = std::to_string(span.count());
        ::sendto(socket, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        ::close(socket);
    }

    // The worker says that it leaves, or its record is removed. After the drain time and a little longer it exits, and starts again.
    void leave(std::size_t number)
    {
        auto& worker = *m_workers[number];
        if (m_random() % 2 == 0)
            m_store.setDraining(static_cast<int>(number), true);
        else
            m_store.removeRecord(static_cast<int>(number));
        worker.expectNoRequestsAfter(std::chrono::steady_clock::now() + m_options.drainTime);
        std::this_thread::sleep_for(m_options.drainTime + lateRequestTime);
        worker.expectNoRequestsAfter(std::nullopt);
        worker.crash(1);
    }

    options m_options;
    soak_store& m_store;
    std::vector<std::unique_ptr<soak_worker>>& m_workers;
    soak_record& m_record;
    std::mt19937 m_random;
    int m_silences = 0;
    std::mutex m_mutex;
    std::vector<late_request> m_lateRequests;
};
