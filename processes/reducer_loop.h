#pragma once

#include "core/clock.h"
#include "drivers/asio/reactor.h"

#include <functional>
#include <optional>
#include <vector>

namespace kumquat {

// Passes events to one reducer, one at a time on the reactor's thread, and calls an executor for each effect that the
// reducer returns. When the reducer's next deadline passes, it receives a TimerEvent.
template <typename Reducer, typename Event, typename Effect, typename TimerEvent>
class reducer_loop {
public:
    using reducer_type = Reducer;

    reducer_loop(reactor& owner, Reducer& reducer, std::function<void(Effect&)> execute)
        : m_reactor(owner)
        , m_reducer(reducer)
        , m_execute(std::move(execute))
    {
    }

    // Queues an event. Safe to call from any thread.
    void post(Event event)
    {
        m_reactor.post([this, event = std::move(event)] { step(event); });
    }

    // Queues a function that reads the reducer's state between two events. Safe to call from any thread.
    void inspect(std::function<void(const Reducer&)> task)
    {
        m_reactor.post([this, task = std::move(task)] { task(m_reducer); });
    }

private:
    void step(const Event& event)
    {
        std::vector<Effect> effects;
        m_reducer.step(event, std::chrono::steady_clock::now(), effects);
        for (auto& effect : effects)
            m_execute(effect);
        armTimer();
    }

    void armTimer()
    {
        const auto next = m_reducer.nextDeadline();
        if (next == m_armedDeadline)
            return;
        m_armedDeadline = next;
        m_reactor.setTimer(next, [this] {
            m_armedDeadline.reset();
            step(TimerEvent {});
        });
    }

    reactor& m_reactor;
    Reducer& m_reducer;
    std::function<void(Effect&)> m_execute;
    std::optional<instant> m_armedDeadline;
};

} // namespace kumquat
