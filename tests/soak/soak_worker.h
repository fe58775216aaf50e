#pragma once

#include "tests/soak/soak_book.h"

#include <atomic>
#include <chrono>
#include <httplib.h>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

inline constexpr int soakEventCount = 8;

// What the whole answer to a request is follows from its id alone.
inline std::string soakBody(const std::string& id)
{
    return "answer to " + id + std::string(200, '.');
}

inline std::string soakEvent(const std::string& id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
}

// A worker that refuses, is slow and breaks off by a seed, and notes all that it runs.
class soak_worker {
public:
    struct options {
        int number = 0;
        int port = 0;
        unsigned seed = 0;
        bool misbehaves = false;
    };

    soak_worker(const options& chosen, soak_book& book)
        : m_id("w" + std::to_string(chosen.number))
        , m_misbehaves(chosen.misbehaves)
        , m_book(book)
        , m_random(chosen.seed)
    {
        m_server.new_task_queue = [] { return new httplib::ThreadPool(64); };
        const auto handler = [this](const httplib::Request& request, httplib::Response& response) { serve(request, response); };
        m_server.Get(".*", handler);
        m_server.Post(".*", handler);
        m_thread = std::thread([this, port = chosen.port] { m_server.listen("127.0.0.1", port); });
    }

    ~soak_worker()
    {
        m_server.stop();
        m_thread.join();
    }

    // From then on no new request may come.
    void forbidFrom(std::optional<std::chrono::steady_clock::time_point> moment)
    {
        const std::lock_guard lock(m_mutex);
        m_forbiddenFrom = moment;
    }

private:
    int draw(int below)
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<int>(m_random() % static_cast<unsigned>(below));
    }

    bool fails(int oneIn) { return draw(oneIn) == 0 && m_misbehaves; }

    bool isForbidden()
    {
        const std::lock_guard lock(m_mutex);
        return m_forbiddenFrom && std::chrono::steady_clock::now() > *m_forbiddenFrom;
    }

    void serve(const httplib::Request& request, httplib::Response& response)
    {
        const auto id = request.get_header_value("X-Attempt-Id");
        response.set_header("X-Attempt-Id", id);
        if (request.get_header_value("X-Expect-Instance") != m_id) {
            response.status = 421;
            return;
        }
        if (isForbidden())
            m_book.noteBroken("a leaving upstream got", id);
        if (fails(10)) {
            response.status = 503;
            response.set_header("X-Not-Executed", "1");
            return;
        }
        m_book.noteRun(id);
        std::this_thread::sleep_for(std::chrono::milliseconds(draw(20) == 0 ? 400 : draw(20)));
        response.set_header("X-Response-Seal", "seal-" + id);
        const bool cut = fails(12);
        if (request.path.starts_with("/stream/"))
            return stream(request, response, id, cut ? draw(soakEventCount) : soakEventCount);
        const auto body = soakBody(id);
        response.set_content_provider(body.size(), "text/plain", [body, cut](std::size_t offset, std::size_t length, httplib::DataSink& sink) {
            sink.write(body.data() + offset, cut ? length / 2 : length);
            return !cut;
        });
    }

    static void stream(const httplib::Request& request, httplib::Response& response, const std::string& id, int events)
    {
        const int first = request.has_header("Last-Event-Id") ? std::atoi(request.get_header_value("Last-Event-Id").c_str()) + 1 : 1;
        response.set_chunked_content_provider("text/event-stream", [id, first, events](std::size_t, httplib::DataSink& sink) {
            for (int number = first; number <= soakEventCount; ++number) {
                const auto event = soakEvent(id, number);
                if (number > events) {
                    sink.write(event.data(), event.size() / 2);
                    return false;
                }
                if (!sink.write(event.data(), event.size()))
                    return false;
                std::this_thread::sleep_for(std::chrono::milliseconds(3));
            }
            sink.done();
            return true;
        });
    }

    std::string m_id;
    bool m_misbehaves;
    soak_book& m_book;
    std::mutex m_mutex;
    std::mt19937 m_random;
    std::optional<std::chrono::steady_clock::time_point> m_forbiddenFrom;
    httplib::Server m_server;
    std::thread m_thread;
};
