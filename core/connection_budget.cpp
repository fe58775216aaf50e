#include "core/connection_budget.h"

#include <algorithm>

namespace kumquat {

namespace {

    // A connection that transfers fewer bytes than progressBytes in stallTime makes no progress. Without a least number of bytes, a
    // caller that sends one byte at a time would keep its connection.
    constexpr auto stallTime = std::chrono::seconds(1);
    constexpr std::uint64_t progressBytes = 1024;
    // Of the descriptors, a quarter is kept for upstreams, and a number for the listeners, the store, peers and files.
    constexpr std::size_t reservedShare = 4;
    constexpr std::size_t fixedDescriptors = 16;
    // A caller that waits to be accepted may be behind others that do; so this share of the connections may be closed at a time.
    constexpr std::size_t closedShare = 4;
    // When pressure begins, requests and answers up to these sizes are still taken; ordinary ones are smaller.
    constexpr std::size_t smallRequestBytes = 65536;
    constexpr std::size_t smallUnsentBytes = 16384;
    // Until the bound, a caller may hold this much, enough for the head of an ordinary request.
    constexpr std::size_t headBytes = 2048;
    // When more bytes than this wait for a slow caller, its upstream is not read.
    constexpr std::size_t maxUnsent = 262144;

    // How much of an answer is read at a time. Answers that begin together under pressure go beyond the bound by one read each.
    constexpr std::size_t answerReadBytes = 65536;
    constexpr std::size_t smallAnswerReadBytes = 8192;

    // An event that is larger and has not ended is not an ordinary one.
    constexpr std::size_t ordinaryEventBytes = 65536;

} // namespace

void connection_budget::add(const connection_key& key, connection_side side, instant now)
{
    m_connections.insert_or_assign(key, tracked_connection { .side = side, .load = {}, .transferredAtProgress = 0, .progressAt = now });
}

void connection_budget::remove(const connection_key& key)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return;
    m_heldBytes -= found->second.load.heldBytes;
    m_connections.erase(found);
}

void connection_budget::update(const connection_key& key, const connection_load& load, instant now)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end())
        return;
    auto& tracked = found->second;
    m_heldBytes = m_heldBytes - tracked.load.heldBytes + load.heldBytes;
    if (load.requestInProgress != tracked.load.requestInProgress || load.transferredBytes - tracked.transferredAtProgress >= progressBytes) {
        tracked.progressAt = now;
        tracked.transferredAtProgress = load.transferredBytes;
    }
    tracked.load = load;
}

std::size_t connection_budget::maxConnections() const
{
    const auto reserved = m_bounds.descriptors / reservedShare + fixedDescriptors;
    return m_bounds.descriptors > reserved ? m_bounds.descriptors - reserved : 1;
}

std::size_t connection_budget::maxReadBytes(std::size_t heldBytes) const
{
    if (m_heldBytes < pressureBytes())
        return std::numeric_limits<std::size_t>::max();
    if (m_heldBytes >= m_bounds.memoryBytes)
        return 0;
    const auto room = static_cast<double>(m_bounds.memoryBytes - m_heldBytes) / static_cast<double>(m_bounds.memoryBytes - pressureBytes());
    const auto allowed = std::max(static_cast<std::size_t>(room * smallRequestBytes), headBytes);
    return allowed > heldBytes ? allowed - heldBytes : 0;
}

std::size_t connection_budget::maxUnsentBytes() const
{
    return m_heldBytes < pressureBytes() ? maxUnsent : smallUnsentBytes;
}

std::size_t connection_budget::maxAnswerReadBytes() const
{
    return m_heldBytes < pressureBytes() ? answerReadBytes : smallAnswerReadBytes;
}

std::size_t connection_budget::meanInProgress() const
{
    std::size_t sum = 0;
    std::size_t count = 0;
    for (const auto& [key, tracked] : m_connections) {
        if (tracked.side != connection_side::caller || !tracked.load.requestInProgress)
            continue;
        sum += tracked.load.heldBytes;
        ++count;
    }
    return count == 0 ? 0 : sum / count;
}

std::optional<holder_rank> connection_budget::rankOf(const tracked_connection& tracked, std::size_t meanInProgress, instant now)
{
    const auto& load = tracked.load;
    if (tracked.side != connection_side::caller && load.answerBytes == 0)
        return std::nullopt;
    if (tracked.side == connection_side::store)
        return holder_rank::store_answer;
    if (tracked.side == connection_side::upstream)
        return load.partialEventBytes > ordinaryEventBytes ? holder_rank::endless_answer : holder_rank::kept_answer;
    const bool stalled = now - tracked.progressAt >= stallTime;
    if (load.requestInProgress && load.awaitsUpstream)
        return load.heldBytes <= meanInProgress ? holder_rank::caller_awaiting_upstream : holder_rank::caller_in_progress;
    if (load.requestInProgress)
        return stalled && load.heldBytes > 0 ? holder_rank::stalled_caller_in_progress : holder_rank::caller_in_progress;
    return stalled ? holder_rank::stalled_caller : holder_rank::waiting_caller;
}

std::vector<connection_key> connection_budget::selectToClose(bool acceptWaits, instant now) const
{
    const bool lacksDescriptors = acceptWaits && !mayAccept();
    if (m_heldBytes < pressureBytes() && !lacksDescriptors)
        return {};
    std::vector<memory_holder> holders;
    const auto mean = meanInProgress();
    for (const auto& [key, tracked] : m_connections) {
        if (const auto rank = rankOf(tracked, mean, now))
            holders.push_back({ key, *rank, tracked.load.heldBytes, tracked.progressAt });
    }
    std::vector<connection_key> selected;
    memory_level level { m_heldBytes, pressureBytes(), m_bounds.memoryBytes };
    if (lacksDescriptors) {
        const auto places = std::max<std::size_t>(maxConnections() / closedShare, 1);
        sortForRelief(holders);
        std::erase_if(holders, [&](const memory_holder& holder) {
            if (holder.rank != holder_rank::stalled_caller || selected.size() == places)
                return false;
            level.heldBytes -= holder.heldBytes;
            selected.push_back(holder.key);
            return true;
        });
    }
    const auto relieving = selectForRelief(std::move(holders), level);
    selected.insert(selected.end(), relieving.begin(), relieving.end());
    return selected;
}

} // namespace kumquat
