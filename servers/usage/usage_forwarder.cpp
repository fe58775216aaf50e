#include "servers/usage/usage_forwarder.h"

namespace kumquat::usage {

namespace {

    // A router that has sent nothing for longer is idle or dead.
    constexpr auto silence = std::chrono::milliseconds(1500);

} // namespace

void usage_forwarder::hear(const usage_counts& message, instant now)
{
    const auto [item, isNew] = m_sources.try_emplace(message.incarnation);
    // Otherwise collectors that forward the counts of a dead router to each other would each take it for alive and stop.
    if (isNew || !message.forwarded)
        item->second.heardAt = now;
}

void usage_forwarder::setCollectors(const std::vector<std::string>& addresses, instant now)
{
    m_collectors = addresses;
    for (auto& [incarnation, item] : m_sources) {
        if (item.sender)
            item.sender->setCollectors(addresses, now);
    }
}

std::vector<addressed_counts> usage_forwarder::takeDue(const usage_collector& collector, std::uint64_t firstWindow, instant now)
{
    std::vector<addressed_counts> due;
    for (auto item = m_sources.begin(); item != m_sources.end();) {
        auto& [incarnation, state] = *item;
        if (now - state.heardAt < silence) {
            ++item;
            continue;
        }
        const auto counts = collector.countsBy(incarnation, firstWindow);
        if (counts.windows().empty()) {
            item = m_sources.erase(item);
            continue;
        }
        if (!state.sender) {
            state.sender.emplace(incarnation);
            state.sender->setCollectors(m_collectors, now);
        }
        for (auto& message : state.sender->takeDue(counts, firstWindow, now)) {
            message.message.forwarded = true;
            due.push_back(std::move(message));
        }
        ++item;
    }
    return due;
}

void usage_forwarder::acknowledge(const std::string& address, const usage_acknowledgement& acknowledged, instant now)
{
    const auto found = m_sources.find(acknowledged.incarnation);
    if (found != m_sources.end() && found->second.sender)
        found->second.sender->acknowledge(address, acknowledged, now);
}

} // namespace kumquat::usage
