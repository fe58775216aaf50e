#include "drivers/http/worker_pool.h"

namespace kumquat {

worker_pool::worker_pool(std::size_t maximumThreads)
    : m_maximumThreads(maximumThreads)
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
    if (m_idle < m_tasks.size() && m_threads.size() < m_maximumThreads)
        m_threads.emplace_back([this] { work(); });
    m_wake.notify_one();
}

void worker_pool::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void worker_pool::work()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_idle++;
        m_wake.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        m_idle--;
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
