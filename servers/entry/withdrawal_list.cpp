#include "servers/entry/withdrawal_list.h"

namespace kumquat {

void withdrawal_list::add(const std::string& address, const withdraw& message, instant now)
{
    m_pending[message.attempt] = { address, message, 1 };
    m_timers.set(message.attempt, now + m_interval);
}

void withdrawal_list::remove(const attempt_id& attempt)
{
    m_pending.erase(attempt);
    m_timers.cancel(attempt);
}

std::optional<pending_withdrawal> withdrawal_list::popDue(instant now)
{
    while (const auto attempt = m_timers.popDue(now)) {
        auto& pending = m_pending.at(*attempt);
        if (pending.copies >= m_copyLimit) {
            m_pending.erase(*attempt);
            continue;
        }
        pending.copies++;
        m_timers.set(*attempt, now + m_interval);
        return pending;
    }
    return std::nullopt;
}

} // namespace kumquat
