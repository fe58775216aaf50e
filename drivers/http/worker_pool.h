#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace kumquat {

// Thread pool for blocking tasks. Threads are started on demand, up to a limit, and reused.
class worker_pool {
public:
    explicit worker_pool(std::size_t maxThreads);
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    // Queues a task, which waits while all threads are busy. Tasks submitted after shutdown() are discarded.
    void submit(std::function<void()>);
    // Executes the queued tasks and joins the threads.
    void shutdown();

private:
    void runTasks();

    const std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_taskAvailable;
    std::deque<std::function<void()>> m_tasks;
    std::list<std::thread> m_threads;
    std::size_t m_idleThreadCount = 0;
    bool m_stopping = false;
};

} // namespace kumquat
