#pragma once

#include "servers/sidecar/queued_attempt.h"

#include <set>

namespace kumquat {

// The order of fifo_scheduling. Stores pointers to attempts of the admission queue, which removes an attempt here before
// it destroys it.
class fifo_queue {
public:
    void push(const queued_attempt& attempt, instant) { m_order.insert(&attempt); }
    void remove(const queued_attempt& attempt, instant) { m_order.erase(&attempt); }
    queue_choice next(instant) const { return { m_order.empty() ? nullptr : *m_order.begin() }; }

private:
    std::set<const queued_attempt*, by_sequence> m_order;
};

} // namespace kumquat
