#pragma once

#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

// Records which requests the workers executed and how the callers were answered, and counts and prints violations of the
// router's guarantees.
class soak_record {
public:
    void recordExecution(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_executions[id];
    }

    int executionCount(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_executions.find(id);
        return found == m_executions.end() ? 0 : found->second;
    }

    // Records through which router a caller sent a request.
    void recordRouter(const std::string& id, int router)
    {
        const std::lock_guard lock(m_mutex);
        m_routers[id] = router;
    }

    // Returns 0 if no caller has sent the request.
    int routerOf(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_routers.find(id);
        return found == m_routers.end() ? 0 : found->second;
    }

    // Records an answer which guarantees that the request was not executed and will not be.
    void recordRefusal(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        m_refusedIds.push_back(id);
    }

    void recordViolation(const std::string& violation, const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        ++m_violationCount;
        std::cout << "broken: " << violation << " request " << id << std::endl;
    }

    // Checks that no refused request was executed, neither before nor after its refusal. Called once all callers are done.
    void checkRefusals()
    {
        for (const auto& id : m_refusedIds) {
            if (executionCount(id) > 0)
                recordViolation("answered as not executed, but executed:", id);
        }
    }

    int violationCount() const { return m_violationCount; }
    int refusalCount() const { return static_cast<int>(m_refusedIds.size()); }

    std::atomic<int> answered { 0 };
    std::atomic<int> failed { 0 };

private:
    std::mutex m_mutex;
    std::map<std::string, int> m_executions;
    std::map<std::string, int> m_routers;
    std::vector<std::string> m_refusedIds;
    std::atomic<int> m_violationCount { 0 };
};
