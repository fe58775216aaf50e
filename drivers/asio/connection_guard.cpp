#include "drivers/asio/connection_guard.h"

#include <algorithm>
#include <map>
#include <sys/resource.h>
#include <unistd.h>

namespace kumquat {

std::uint32_t connection_guard::addOwner(std::function<void(std::uint64_t id)> closeConnection)
{
    m_owners.push_back(std::move(closeConnection));
    return static_cast<std::uint32_t>(m_owners.size() - 1);
}

void connection_guard::relieve(bool acceptWaits, instant now)
{
    const auto selected = m_budget.selectToClose(acceptWaits, now);
    if (selected.empty())
        return;
    const auto* bound = acceptWaits && !m_budget.mayAccept() ? "descriptors" : "memory";
    std::map<connection_side, closing> closings;
    for (const auto& key : selected) {
        const auto side = m_budget.sideOf(key);
        const auto bytes = m_budget.loadOf(key).heldBytes;
        auto& closed = closings.try_emplace(side, closing { bound, side, 0, m_budget.heldBytes(), 0, 0 }).first->second;
        ++closed.connections;
        closed.closedBytes += bytes;
        closed.largestBytes = std::max(closed.largestBytes, bytes);
    }
    for (const auto& [side, closed] : closings)
        m_onClosed(closed);
    for (const auto& key : selected)
        m_owners[key.owner](key.id);
}

std::size_t readDescriptorLimit()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return limit.rlim_cur;
}

std::size_t readMachineMemory()
{
    return static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace kumquat
