#include "servers/usage/usage_sender.h"

#include <algorithm>
#include <utility>

namespace kumquat::usage {

namespace {

    constexpr auto sendInterval = std::chrono::milliseconds(500);
    // While no holder is known.
    constexpr auto slowSendInterval = std::chrono::milliseconds(2000);
    // Acknowledgements that arrive later than this are ignored, and the counts are sent again.
    constexpr auto acknowledgementTimeout = std::chrono::seconds(2);
    // A message without an acknowledgement is taken for lost after this time, and its counts are sent again. A new holder decides
    // the first window 1.5 s after its announcement; with 500 ms that left two or three attempts.
    constexpr auto retryInterval = std::chrono::milliseconds(250);
    // A burst of more datagrams from many routers would overflow the collector's socket. The next ones follow the acknowledgements.
    constexpr std::size_t maxMessagesInTransit = 8;
    // A collector that has not answered for so long gets one message in each interval, until it answers.
    constexpr auto silenceTime = 3 * sendInterval;

    // The size of a number in CBOR.
    std::size_t encodedBytes(std::uint64_t value)
    {
        constexpr std::uint64_t largestInline = 23;
        constexpr std::uint64_t largestIn[] = { 0xFF, 0xFFFF, 0xFFFFFFFF };
        if (value <= largestInline)
            return 1;
        std::size_t bytes = 1;
        for (const auto largest : largestIn) {
            if (value <= largest)
                return 1 + bytes;
            bytes *= 2;
        }
        return 1 + bytes;
    }

    // The largest size of a message without counts: three numbers of nine bytes, that of the format, the heads of two arrays, and
    // whether it is forwarded.
    constexpr std::size_t emptyMessageBytes = 35;
    // The distance between the windows of a message takes at most two bytes.
    constexpr std::size_t windowDistanceBytes = 2;

    std::size_t encodedBytes(const usage_count& count)
    {
        return windowDistanceBytes + encodedBytes(count.organisation.size()) + count.organisation.size() + encodedBytes(count.runs);
    }

    // Splits counts into parts that fit in one message each.
    std::vector<std::vector<usage_count>> splitIntoMessages(std::vector<usage_count>&& counts)
    {
        std::vector<std::vector<usage_count>> parts(1);
        std::size_t bytes = emptyMessageBytes;
        for (auto& count : counts) {
            if (bytes + encodedBytes(count) > maxUsageMessageBytes) {
                parts.emplace_back();
                bytes = emptyMessageBytes;
            }
            bytes += encodedBytes(count);
            parts.back().push_back(std::move(count));
        }
        return parts;
    }

} // namespace

void usage_sender::setCollectors(const std::vector<std::string>& addresses, instant now)
{
    std::erase_if(m_collectors, [&addresses](const auto& item) { return std::find(addresses.begin(), addresses.end(), item.first) == addresses.end(); });
    for (const auto& address : addresses)
        m_collectors[address].isAsked = true;
    resume(now);
}

void usage_sender::resume(instant now)
{
    m_isSlow = false;
    for (auto& [address, collector] : m_collectors) {
        collector.dueAt = now;
        collector.roundAt = now;
        collector.unansweredSince.reset();
    }
}

std::vector<addressed_counts> usage_sender::takeDue(const usage_counter& counter, std::uint64_t firstWindow, instant now)
{
    std::vector<addressed_counts> due;
    for (auto& [address, collector] : m_collectors) {
        if (now < collector.dueAt)
            continue;
        const bool isRound = now >= collector.roundAt;
        if (isRound)
            collector.roundAt = now + (m_isSlow ? slowSendInterval : sendInterval);
        std::erase_if(collector.unacknowledged, [now](const auto& item) { return now - item.second.sentAt > acknowledgementTimeout; });
        collector.sent.erase(collector.sent.begin(), collector.sent.lower_bound(firstWindow));
        sendTo(address, collector, missingCounts(collector, counter, firstWindow, isRound, now), now, due);
        collector.dueAt = nextDueAt(collector, now);
    }
    return due;
}

void usage_sender::sendTo(const std::string& address, collector_state& collector, std::vector<usage_count>&& missing, instant now, std::vector<addressed_counts>& due)
{
    collector.hasMore = false;
    if (missing.empty() && !collector.isAsked)
        return;
    auto parts = splitIntoMessages(std::move(missing));
    const auto room = roomFor(collector, now);
    collector.hasMore = parts.size() > room;
    parts.resize(std::min(parts.size(), room));
    for (auto& counts : parts) {
        for (const auto& count : counts) {
            auto& sent = collector.sent[count.window][count.organisation];
            sent.sentRuns = count.runs;
            sent.sentAt = now;
        }
        due.push_back({ address, { m_incarnation, ++m_lastNumber, counts } });
        collector.unacknowledged.emplace(m_lastNumber, sent_message { std::move(counts), now });
        collector.unansweredSince = collector.unansweredSince.value_or(now);
    }
}

bool usage_sender::isSilent(const collector_state& collector, instant now)
{
    return collector.unansweredSince && now - *collector.unansweredSince >= silenceTime;
}

std::size_t usage_sender::roomFor(const collector_state& collector, instant now)
{
    if (isSilent(collector, now))
        return 1;
    const auto inTransit = std::count_if(collector.unacknowledged.begin(), collector.unacknowledged.end(), [now](const auto& item) { return now - item.second.sentAt < retryInterval; });
    return maxMessagesInTransit - std::min(maxMessagesInTransit, static_cast<std::size_t>(inTransit));
}

instant usage_sender::nextDueAt(const collector_state& collector, instant now) const
{
    auto next = collector.roundAt;
    if (m_isSlow || isSilent(collector, now))
        return next;
    for (const auto& [number, message] : collector.unacknowledged) {
        const auto lostAt = message.sentAt + retryInterval;
        if (lostAt > now)
            next = std::min(next, lostAt);
    }
    return next;
}

bool usage_sender::isDueAgain(const sent_count& sent, std::uint64_t runs, bool isRound, instant now)
{
    if (sent.acknowledgedRuns >= runs)
        return false;
    const auto age = now - sent.sentAt;
    // What was sent between two rounds and has grown is due in the next one, so that it isn't older than the others.
    return sent.acknowledgedRuns < sent.sentRuns ? age >= retryInterval : isRound || age >= sendInterval;
}

std::vector<usage_count> usage_sender::missingCounts(collector_state& collector, const usage_counter& counter, std::uint64_t firstWindow, bool isRound, instant now)
{
    std::vector<usage_count> missing;
    const auto& windows = counter.windows();
    for (auto window = windows.lower_bound(firstWindow); window != windows.end(); ++window) {
        const auto& sent = collector.sent[window->first];
        for (const auto& [organisation, runs] : window->second) {
            const auto found = sent.find(organisation);
            if (found == sent.end() || isDueAgain(found->second, runs, isRound, now))
                missing.push_back({ window->first, organisation, runs });
        }
    }
    return missing;
}

void usage_sender::acknowledge(const std::string& address, const usage_acknowledgement& acknowledged, instant now)
{
    const auto found = m_collectors.find(address);
    if (found == m_collectors.end() || acknowledged.incarnation != m_incarnation)
        return;
    auto& collector = found->second;
    const auto message = collector.unacknowledged.find(acknowledged.number);
    if (message == collector.unacknowledged.end())
        return;
    if (collector.incarnation && collector.incarnation != acknowledged.collector) {
        // The collector is the successor of the one that had the counts, and has only those of this message.
        collector.sent.clear();
        std::erase_if(collector.unacknowledged, [&](const auto& item) { return item.first != acknowledged.number; });
        collector.hasMore = true;
    }
    collector.incarnation = acknowledged.collector;
    collector.isAsked = false;
    for (const auto& count : message->second.counts) {
        auto& sent = collector.sent[count.window][count.organisation];
        sent.acknowledgedRuns = std::max(sent.acknowledgedRuns, count.runs);
    }
    collector.unacknowledged.erase(message);
    const bool wasSilent = isSilent(collector, now);
    collector.unansweredSince.reset();
    collector.dueAt = wasSilent || collector.hasMore ? now : nextDueAt(collector, now);
}

std::optional<instant> usage_sender::nextDeadline() const
{
    std::optional<instant> next;
    for (const auto& [address, collector] : m_collectors)
        next = next ? std::min(*next, collector.dueAt) : collector.dueAt;
    return next;
}

} // namespace kumquat::usage
