#pragma once

#include "core/log_event.h"
#include "core/metric.h"
#include "core/router_digest.h"
#include "core/usage_settings.h"
#include "servers/usage/announcement_relay.h"
#include "servers/usage/fleet_clock.h"
#include "servers/usage/fleet_state_throttle.h"
#include "servers/usage/usage_collector.h"
#include "servers/usage/usage_forwarder.h"
#include "servers/usage/usage_sender.h"

#include <variant>

namespace kumquat::usage {

struct usage_options {
    // Differs for each process that runs on the same instance.
    std::uint64_t incarnation = 0;
    // The host at which other routers reach this one.
    std::string host;
    // Without settings nothing is counted or sent, and no digest grows.
    std::optional<usage_settings> settings;
};

// Send a message to the router at an address.
struct send_usage_message {
    std::string address;
    usage_message message;
};

using usage_effect = std::variant<send_usage_message, log_event, count_metric, gauge_metric>;
using usage_effects = std::vector<usage_effect>;

// Counts the use of upstreams together with the other routers: this router's counts, those that it collects for the holder, the
// announcement of the holder and the time of day of the fleet. Every router collects what it is sent, so that a new holder needs no
// preparation. The present time is passed in.
class usage_exchange {
public:
    explicit usage_exchange(usage_options);

    bool isOn() const { return m_options.settings.has_value(); }
    // Applies changed settings. Counts are kept unless the feature is now off or windows have another length.
    void setSettings(const std::optional<usage_settings>&);

    // Has to be called at nextDeadline(), before other calls after a longer pause, and with this router's own time of day.
    void passTime(instant now, unix_time timeOfDay, usage_effects&);
    std::optional<instant> nextDeadline() const;
    // The instance was suspended for a time that the steady clock leaves out.
    void resumeAfterSuspension(duration gap, instant now);
    // The process was not run for a time.
    void resumeAfterStall(instant now);

    // Counts a run that began at the given time.
    void recordRun(const std::string& organisation, instant startedAt);
    // Adds the state of the fleet to a digest that is sent, if it is due, and removes it from one that is passed on if it isn't.
    void addTo(router_digest&, instant now, unix_time timeOfDay);
    void receive(const router_digest&, instant now, usage_effects&);
    void receive(const std::string& address, const usage_message&, instant now, usage_effects&);

    // Sets the announcement that this router makes as the holder.
    void publish(const duty_announcement&, instant now, usage_effects&);
    // The newest announcement, with its present age.
    std::optional<duty_announcement> announcement(instant now) const { return m_relay.current(now); }
    // The time of day by the clocks of all routers.
    unix_time timeAt(instant time) const { return m_clock.timeAt(time); }
    // The window at a time, which must not be before the Unix epoch.
    std::uint64_t windowAt(instant) const;
    // The runs of all routers in a window, as far as they are known here.
    organisation_runs countsOf(std::uint64_t window) const;
    // The number of counts of other routers that are kept.
    std::size_t collectedCounts() const { return m_collector.size(); }

private:
    bool isStateDue(const router_digest&, const std::optional<duty_announcement>&, instant now);
    // Acts on a change of the announcement.
    void followHolder(instant now, usage_effects&);
    void dropOldWindows(instant now);
    void collect(const usage_counts&, instant now, usage_effects&);
    void sendDue(instant now, usage_effects&);
    static void send(std::vector<addressed_counts>&&, usage_effects&);
    // The first window whose counts the holder still takes.
    std::uint64_t firstWantedWindow() const;

    usage_options m_options;
    usage_counter m_counter;
    usage_collector m_collector;
    usage_sender m_sender;
    usage_forwarder m_forwarder;
    announcement_relay m_relay;
    fleet_clock m_clock;
    // Of this router's digests to its neighbours, and of those of other data centres that it passes on to them.
    fleet_state_throttle m_ownStates;
    fleet_state_throttle m_relayedStates;
    // The token of this router's last announcement as the holder.
    std::optional<std::uint64_t> m_ownToken;
    // The announcement that the sender follows.
    std::optional<duty_announcement> m_followed;
    // That announcement is older than the lease.
    bool m_isSilent = false;
    std::uint64_t m_firstKeptWindow = 0;
    // When the time was last passed.
    instant m_lastTick;
    bool m_clockIsWrong = false;
};

} // namespace kumquat::usage
