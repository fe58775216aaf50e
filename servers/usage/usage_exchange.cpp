#include "servers/usage/usage_exchange.h"

#include "core/overloaded.h"

#include <algorithm>
#include <utility>

namespace kumquat::usage {

namespace {

    // How often the median of the clocks is computed and old counts are discarded.
    constexpr auto tickInterval = std::chrono::milliseconds(250);
    // Counts are kept for this many times the deadline of a report, since no window is decided later than that.
    constexpr int keptDeadlines = 2;
    // Counts of windows that are further ahead than this are discarded.
    constexpr std::uint64_t windowsAhead = 2;
    // A router's own time of day that differs from the median by more than this is logged.
    constexpr auto maxClockError = std::chrono::milliseconds(500);
    // Longer names of organisations are not counted, so that each count fits in a message.
    constexpr std::size_t maxNameBytes = 256;
    // The state of the fleet takes about 60 bytes, so that to each neighbour in this interval for each of them it takes 3 KB a second.
    constexpr duration stateIntervalPerRouter = std::chrono::milliseconds(20);
    // Clocks that were not heard for 3 s are ignored, so two states may be lost in a row.
    constexpr duration maxStateInterval = std::chrono::milliseconds(1000);
    // Of the holder's states, and of newer announcements that are passed on from other data centres. Routers that hear no newer one
    // for half of the lease look into the store.
    constexpr duration maxHolderStateInterval = std::chrono::milliseconds(300);
    constexpr duration minNewsInterval = std::chrono::milliseconds(250);

    std::string formatList(const std::vector<std::string>& values)
    {
        std::string text;
        for (const auto& value : values)
            text += (text.empty() ? "" : ",") + value;
        return text;
    }

    count_metric countMessage(const char* kind)
    {
        return { "kumquat_router_usage_messages_total", { { "kind", kind } } };
    }

} // namespace

usage_exchange::usage_exchange(usage_options options)
    : m_options(std::move(options))
    , m_sender(m_options.incarnation)
{
    setSettings(std::exchange(m_options.settings, std::nullopt));
}

void usage_exchange::setSettings(const std::optional<usage_settings>& settings)
{
    const bool keepsWindows = settings && m_options.settings && settings->window == m_options.settings->window;
    if (!keepsWindows) {
        m_counter = {};
        m_collector = {};
        m_forwarder = {};
        m_relay = {};
        m_sender = usage_sender(m_options.incarnation);
        m_followed.reset();
        m_isSilent = false;
        m_firstKeptWindow = 0;
    }
    m_options.settings = settings;
    if (settings)
        m_relay.setLeaseDuration(settings->leaseDuration);
}

void usage_exchange::passTime(instant now, unix_time timeOfDay, usage_effects& effects)
{
    if (!isOn())
        return;
    if (now - m_lastTick >= tickInterval) {
        m_lastTick = now;
        m_clock.setOwn(timeOfDay, now);
        effects.emplace_back(gauge_metric { "kumquat_router_clock_error_seconds", {}, std::chrono::duration<double>(m_clock.ownError()).count() });
        effects.emplace_back(gauge_metric { "kumquat_router_usage_counts", {}, static_cast<double>(m_collector.size()) });
        const bool isWrong = std::chrono::abs(m_clock.ownError()) > maxClockError;
        if (isWrong != m_clockIsWrong)
            effects.emplace_back(log_event { log_level::warning, isWrong ? "clock_differs" : "clock_agrees", { { "ahead_ms", formatMilliseconds(m_clock.ownError()) } } });
        m_clockIsWrong = isWrong;
        dropOldWindows(now);
        followHolder(now, effects);
        if (m_followed && !m_isSilent)
            send(m_forwarder.takeDue(m_collector, firstWantedWindow(), now), effects);
    }
    sendDue(now, effects);
}

std::optional<instant> usage_exchange::nextDeadline() const
{
    if (!isOn())
        return std::nullopt;
    const auto tick = m_lastTick + tickInterval;
    return std::min(tick, m_sender.nextDeadline().value_or(tick));
}

void usage_exchange::resumeAfterSuspension(duration gap, instant now)
{
    m_clock.shift(gap, now);
}

void usage_exchange::resumeAfterStall(instant now)
{
    m_clock.distrust(now);
}

std::uint64_t usage_exchange::windowAt(instant time) const
{
    return static_cast<std::uint64_t>(m_clock.timeAt(time).time_since_epoch() / m_options.settings->window);
}

void usage_exchange::dropOldWindows(instant now)
{
    const auto& settings = *m_options.settings;
    m_firstKeptWindow = windowAt(now - keptDeadlines * settings.reportDeadline);
    m_counter.dropBefore(m_firstKeptWindow);
    m_collector.keepWindows(m_firstKeptWindow, windowAt(now) + windowsAhead);
}

void usage_exchange::recordRun(const std::string& organisation, instant startedAt)
{
    if (isOn() && organisation.size() <= maxNameBytes)
        m_counter.record(windowAt(startedAt), organisation);
}

bool usage_exchange::isStateDue(const router_digest& digest, const std::optional<duty_announcement>& announced, instant now)
{
    const auto interval = stateIntervalPerRouter * static_cast<int>(m_clock.heardRouters());
    if (digest.relayed)
        return digest.fleet && m_relayedStates.take(announced, std::min(interval, m_relayedStates.isNewer(announced, now) ? minNewsInterval : maxStateInterval), now);
    // Few routers get the digest of a data centre.
    if (digest.scope == digest_scope::data_centre)
        return true;
    const bool isHolder = announced && announced->fencingToken == m_ownToken;
    return m_ownStates.take(announced, std::min(interval, isHolder ? maxHolderStateInterval : maxStateInterval), now);
}

void usage_exchange::addTo(router_digest& digest, instant now, unix_time timeOfDay)
{
    if (!isOn())
        return;
    const auto announced = m_relay.current(now);
    if (!isStateDue(digest, announced, now))
        return digest.fleet.reset();
    // A digest that is passed on has the time of day of the router that has aggregated it.
    if (!digest.relayed)
        digest.fleet = fleet_state { timeOfDay, std::nullopt };
    if (digest.fleet)
        digest.fleet->announcement = announced;
}

void usage_exchange::receive(const router_digest& digest, instant now, usage_effects& effects)
{
    if (!isOn() || !digest.fleet)
        return;
    m_clock.hear(digest.instance, digest.fleet->timeOfDay, now);
    if (digest.fleet->announcement) {
        m_relay.hear(*digest.fleet->announcement, now);
        followHolder(now, effects);
    }
}

void usage_exchange::publish(const duty_announcement& announced, instant now, usage_effects& effects)
{
    if (!isOn())
        return;
    m_ownToken = announced.fencingToken;
    m_relay.publish(announced, now);
    followHolder(now, effects);
}

void usage_exchange::followHolder(instant now, usage_effects& effects)
{
    const auto announced = m_relay.current(now);
    if (!announced) {
        if (m_followed && !std::exchange(m_isSilent, true)) {
            effects.emplace_back(log_event { log_level::warning, "usage_holder_silent", { { "token", std::to_string(m_followed->fencingToken) } } });
            m_sender.slowDown();
        }
        return;
    }
    const bool isNew = !m_followed || m_followed->fencingToken != announced->fencingToken || m_followed->collectors != announced->collectors;
    const bool wasSilent = std::exchange(m_isSilent, false);
    m_followed = announced;
    if (!isNew && !wasSilent)
        return;
    effects.emplace_back(log_event { log_level::info, "usage_holder_heard", { { "token", std::to_string(announced->fencingToken) }, { "collectors", formatList(announced->collectors) }, { "first_window", std::to_string(announced->firstOpenWindow) } } });
    auto others = announced->collectors;
    std::erase(others, m_options.host);
    if (isNew) {
        m_sender.setCollectors(others, now);
        m_forwarder.setCollectors(others, now);
    } else {
        m_sender.resume(now);
    }
    sendDue(now, effects);
}

void usage_exchange::sendDue(instant now, usage_effects& effects)
{
    if (m_followed)
        send(m_sender.takeDue(m_counter, firstWantedWindow(), now), effects);
}

std::uint64_t usage_exchange::firstWantedWindow() const
{
    return std::max(m_firstKeptWindow, m_followed->firstOpenWindow);
}

void usage_exchange::send(std::vector<addressed_counts>&& messages, usage_effects& effects)
{
    for (auto& [address, message] : messages) {
        effects.emplace_back(countMessage("counts"));
        effects.emplace_back(send_usage_message { address, std::move(message) });
    }
}

void usage_exchange::receive(const std::string& address, const usage_message& message, instant now, usage_effects& effects)
{
    if (!isOn())
        return;
    const auto visitor = overloaded {
        [&](const usage_counts& counts) {
            // A collector may forward this router's own counts to it, which it has.
            if (counts.incarnation != m_options.incarnation)
                collect(counts, now, effects);
            effects.emplace_back(countMessage("acknowledgement"));
            effects.emplace_back(send_usage_message { address, usage_acknowledgement { counts.incarnation, counts.number, m_options.incarnation } });
        },
        [&](const usage_acknowledgement& acknowledged) {
            m_sender.acknowledge(address, acknowledged, now);
            m_forwarder.acknowledge(address, acknowledged, now);
            sendDue(now, effects);
        },
    };
    std::visit(visitor, message);
}

void usage_exchange::collect(const usage_counts& counts, instant now, usage_effects& effects)
{
    m_forwarder.hear(counts, now);
    if (const auto discarded = m_collector.receive(counts); discarded > 0)
        effects.emplace_back(count_metric { "kumquat_router_usage_discarded_counts_total", {}, static_cast<double>(discarded) });
}

organisation_runs usage_exchange::countsOf(std::uint64_t window) const
{
    auto counts = m_collector.countsOf(window);
    const auto own = m_counter.windows().find(window);
    if (own == m_counter.windows().end())
        return counts;
    for (const auto& [organisation, runs] : own->second)
        counts[organisation] += runs;
    return counts;
}

} // namespace kumquat::usage
