#pragma once

#include "servers/entry/entry_effect.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

namespace kumquat {

using channel_item = std::variant<begin_answer, append_answer, finish_answer, fail_answer>;

// Thread-safe queue that passes the parts of one answer from the thread of the event loop to the connection thread that
// writes them to the caller.
class caller_channel {
public:
    void push(channel_item);
    // Removes and returns the next item. Waits for one up to the timeout and returns nothing when it expires.
    std::optional<channel_item> pop(std::chrono::milliseconds);

private:
    std::mutex m_mutex;
    std::condition_variable m_itemAvailable;
    std::deque<channel_item> m_items;
};

} // namespace kumquat
