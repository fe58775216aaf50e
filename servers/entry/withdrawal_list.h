#pragma once

#include "core/peer_message.h"
#include "core/timer_queue.h"

#include <map>
#include <optional>
#include <string>

namespace kumquat {

// A withdrawal whose answer is awaited.
struct pending_withdrawal {
    std::string address;
    withdraw message;
    std::uint32_t copies = 0;
};

// Keeps the withdrawals of attempts that were given up until their sidecars answer, so that a lost message does not
// leave an upstream working for nobody.
class withdrawal_list {
public:
    withdrawal_list(std::chrono::milliseconds interval, std::uint32_t copyLimit)
        : m_interval(interval)
        , m_copyLimit(copyLimit)
    {
    }

    // Adds a withdrawal whose first copy the caller sends.
    void add(const std::string& address, const withdraw&, instant now);
    void remove(const attempt_id&);
    // Returns the next withdrawal to send again, or nothing.
    std::optional<pending_withdrawal> popDue(instant now);
    std::optional<instant> nextDeadline() const { return m_timers.nextDeadline(); }
    std::size_t size() const { return m_pending.size(); }

private:
    std::chrono::milliseconds m_interval;
    std::uint32_t m_copyLimit;
    std::map<attempt_id, pending_withdrawal> m_pending;
    timer_queue<attempt_id> m_timers;
};

} // namespace kumquat
