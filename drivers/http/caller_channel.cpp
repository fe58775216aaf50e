#include "drivers/http/caller_channel.h"

namespace kumquat {

void caller_channel::push(channel_item item)
{
    const std::lock_guard lock(m_mutex);
    m_items.push_back(std::move(item));
    m_itemAvailable.notify_one();
}

std::optional<channel_item> caller_channel::pop(std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    m_itemAvailable.wait_for(lock, timeout, [this] { return !m_items.empty(); });
    if (m_items.empty())
        return std::nullopt;
    auto item = std::move(m_items.front());
    m_items.pop_front();
    return item;
}

} // namespace kumquat
