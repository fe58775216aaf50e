#include "core/byte_queue.h"

#include <algorithm>

namespace kumquat {

void byte_queue::removeFront(std::size_t count)
{
    m_removed += std::min(count, size());
    if (empty())
        return clear();
    // The rest is moved once it is no larger than what has been removed.
    if (m_removed < size())
        return;
    // A swap frees the memory; an assignment of a short text would keep it.
    std::string(view()).swap(m_bytes);
    m_removed = 0;
}

void byte_queue::clear()
{
    std::string().swap(m_bytes);
    m_removed = 0;
}

} // namespace kumquat
