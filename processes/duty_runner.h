#pragma once

#include "core/fleet_state.h"
#include "core/router_settings.h"
#include "processes/duty_client.h"
#include "servers/duties/duty_reducer.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace kumquat {

// Connects the duty reducer to its calls and executes its effects. The owner sets the timer and reports interruptions.
class duty_runner {
public:
    struct callbacks {
        // The counts of all routers in a window, as far as they are known here.
        std::function<duties::usage_counts(std::uint64_t window)> countsOf;
        // The routers that take the counts have changed.
        std::function<void(const std::vector<std::string>&)> onCollectors;
        // As in duty_client.
        std::function<std::uint64_t()> interruptions;
        // Called before an outcome is processed, to look for interruptions, and after it.
        std::function<void()> beforeEvent;
        std::function<void()> afterEvent;
    };

    // The settings have to name duties, and are those of the start; their changes take effect with the next process.
    duty_runner(reactor&, connection_guard&, metrics_registry&, const router_settings&, callbacks);

    void post(duties::duty_event);
    // Has to be called at the deadline.
    void runTimer(instant now);
    std::optional<instant> nextDeadline() const { return m_reducer.nextDeadline(); }
    // What the digests say about the duties.
    std::optional<duty_announcement> announcement(instant now) const { return m_reducer.announcement(now); }
    bool isReleasing() const { return m_reducer.isReleasing(); }
    bool isHolder(instant now) const { return m_reducer.isHolder(now); }
    // Passes on the present time of day and the routers that may serve as deputies.
    void refresh(unix_time timeOfDay, std::vector<std::string> peers);

private:
    void postOutcome(duties::duty_event);
    void execute(duties::duty_effect&);

    metrics_registry& m_metrics;
    endpoint m_store;
    endpoint m_platformApi;
    callbacks m_callbacks;
    duties::duty_reducer m_reducer;
    duty_client m_client;
    // Events that arrived while m_stepping was set.
    std::deque<duties::duty_event> m_queued;
    bool m_stepping = false;
};

} // namespace kumquat
