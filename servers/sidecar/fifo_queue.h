#pragma once

#include "servers/sidecar/queued_attempt.h"

#include <set>

namespace kumquat {

// Order of fifo_scheduling. The attempts belong to the admission queue and outlive their stay here.
class fifo_queue {
public:
    void push(const queued_attempt& attempt, instant) { m_order.insert(&attempt); }
    void remove(const queued_attempt& attempt, instant) { m_order.erase(&attempt); }
    queue_choice next(instant) const { return { m_order.empty() ? nullptr : *m_order.begin() }; }

private:
    std::set<const queued_attempt*, by_sequence> m_order;
};

} // namespace kumquat
