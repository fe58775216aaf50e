#pragma once

#include "core/peer_message.h"
#include "core/timer_queue.h"

#include <map>
#include <optional>
#include <string>

namespace kumquat {

// A withdrawal that the sidecar has not answered.
struct pending_withdrawal {
    std::string address;
    withdraw message;
    std::uint32_t copies = 0;
};

// Withdrawals of abandoned attempts that the sidecars have not answered. They are sent again, because an upstream would
// otherwise continue an attempt whose withdrawal was lost.
class withdrawal_list {
public:
    withdrawal_list(std::chrono::milliseconds interval, std::uint32_t copyLimit)
        : m_interval(interval)
        , m_copyLimit(copyLimit)
    {
    }

    // Adds a withdrawal. The caller of this function sends the first copy.
    void add(const std::string& address, const withdraw&, instant now);
    // Removes the withdrawal of an attempt that its sidecar has answered; does nothing when there is none.
    void remove(const attempt_id&);
    // Returns the next withdrawal to send again, or nothing. Discards withdrawals that have been sent copyLimit times.
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
