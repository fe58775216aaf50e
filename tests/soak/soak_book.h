#pragma once

#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

// What workers ran and what callers were told, with the promises that were seen broken.
class soak_book {
public:
    void noteRun(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[id];
    }

    int runs(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runs.find(id);
        return found == m_runs.end() ? 0 : found->second;
    }

    // A caller was told that its request was not run and never will be.
    void noteRefused(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        m_refused.push_back(id);
    }

    void noteBroken(const std::string& promise, const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_broken;
        std::cout << "broken: " << promise << " request " << id << std::endl;
    }

    // Looks at all refusals once more, for requests that ran later.
    void checkRefused()
    {
        for (const auto& id : m_refused) {
            if (runs(id) > 0)
                noteBroken("told not run but ran", id);
        }
    }

    int broken() const { return m_broken; }
    int refused() const { return static_cast<int>(m_refused.size()); }

    std::atomic<int> answered { 0 };
    std::atomic<int> failed { 0 };

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::vector<std::string> m_refused;
    std::atomic<int> m_broken { 0 };
};
