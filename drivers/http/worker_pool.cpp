#include "drivers/http/worker_pool.h"

namespace kumquat {

worker_pool::worker_pool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{
}

worker_pool::~worker_pool()
{
    shutdown();
}

void worker_pool::submit(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopping)
        return;
    m_tasks.push_back(std::move(task));
    if (m_idleThreadCount < m_tasks.size() && m_threads.size() < m_maxThreads)
        m_threads.emplace_back([this] { runTasks(); });
    m_taskAvailable.notify_one();
}

void worker_pool::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_taskAvailable.notify_all();
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void worker_pool::runTasks()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_idleThreadCount++;
        m_taskAvailable.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        m_idleThreadCount--;
        if (m_tasks.empty())
            return;
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace kumquat
