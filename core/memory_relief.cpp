#include "core/memory_relief.h"

#include <algorithm>
#include <tuple>

namespace kumquat {

namespace {

    // A holder of less than the mean divided by this does not cause the shortage.
    constexpr std::size_t smallShareDivisor = 16;

    bool mayBeEnded(holder_rank rank, const memory_level& level, bool wasAtBound)
    {
        if (rank == holder_rank::endless_answer || rank == holder_rank::stalled_caller)
            return level.heldBytes >= level.pressureBytes;
        // Room is made for callers that wait to be read, which the others would take up again at once.
        return wasAtBound && level.heldBytes >= level.pressureBytes + (level.boundBytes - level.pressureBytes) / 2;
    }

} // namespace

void sortForRelief(std::vector<memory_holder>& holders)
{
    std::sort(holders.begin(), holders.end(), [](const memory_holder& left, const memory_holder& right) {
        return std::tie(left.rank, right.heldBytes, left.progressAt, left.key.id) < std::tie(right.rank, left.heldBytes, right.progressAt, right.key.id);
    });
}

std::vector<connection_key> selectForRelief(std::vector<memory_holder> holders, memory_level level)
{
    std::erase_if(holders, [](const memory_holder& holder) { return holder.heldBytes == 0; });
    sortForRelief(holders);
    const bool wasAtBound = level.heldBytes >= level.boundBytes;
    std::size_t sum = 0;
    for (const auto& holder : holders)
        sum += holder.heldBytes;
    std::vector<connection_key> selected;
    // The mean falls as the largest are ended, so that others may come into question.
    for (bool selectsMore = true; selectsMore;) {
        selectsMore = false;
        auto count = holders.size();
        std::erase_if(holders, [&](const memory_holder& holder) {
            const bool isSmall = holder.heldBytes * smallShareDivisor < sum / count;
            if (isSmall || !mayBeEnded(holder.rank, level, wasAtBound))
                return false;
            level.heldBytes -= holder.heldBytes;
            sum -= holder.heldBytes;
            --count;
            selected.push_back(holder.key);
            selectsMore = true;
            return true;
        });
    }
    return selected;
}

} // namespace kumquat
