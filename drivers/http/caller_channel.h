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

// Hands the pieces of one answer from the reactor's thread to the thread that writes to the caller.
class caller_channel {
public:
    void push(channel_item);
    // Waits for the next piece, at most for the given time.
    std::optional<channel_item> pop(std::chrono::milliseconds);

private:
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<channel_item> m_items;
};

} // namespace kumquat
