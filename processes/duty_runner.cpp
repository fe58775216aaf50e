#include "processes/duty_runner.h"

#include "core/overloaded.h"
#include "drivers/spdlog/event_log.h"

#include <chrono>
#include <random>

namespace kumquat {

namespace {

    // Numbers in JSON are exact up to 2^53.
    std::uint64_t drawIncarnation()
    {
        std::random_device device;
        return (std::uint64_t(device()) << 21U) ^ device() % (1U << 21U);
    }

    duties::duty_options dutyOptions(const router_settings& settings, std::function<duties::usage_counts(std::uint64_t)> countsOf)
    {
        return { *settings.duties, settings.instance, settings.address, drawIncarnation(), std::move(countsOf) };
    }

} // namespace

duty_runner::duty_runner(reactor& loop, connection_guard& guard, metrics_registry& metrics, const router_settings& settings, callbacks callbacks)
    : m_metrics(metrics)
    , m_store(settings.store)
    , m_platformApi(settings.duties->platformApi)
    , m_callbacks(std::move(callbacks))
    , m_reducer(dutyOptions(settings, m_callbacks.countsOf), std::chrono::steady_clock::now())
    , m_client(loop, guard, metrics, m_callbacks.interruptions, [this](duties::duty_event event) { postOutcome(std::move(event)); })
{
}

void duty_runner::post(duties::duty_event event)
{
    m_queued.push_back(std::move(event));
    if (m_stepping)
        return;
    m_stepping = true;
    while (!m_queued.empty()) {
        auto next = std::move(m_queued.front());
        m_queued.pop_front();
        duties::duty_effects effects;
        m_reducer.step(std::move(next), std::chrono::steady_clock::now(), effects);
        for (auto& effect : effects)
            execute(effect);
    }
    m_stepping = false;
}

void duty_runner::postOutcome(duties::duty_event event)
{
    m_callbacks.beforeEvent();
    post(std::move(event));
    m_callbacks.afterEvent();
}

void duty_runner::runTimer(instant now)
{
    const auto deadline = m_reducer.nextDeadline();
    if (deadline && now >= *deadline)
        post(duties::duty_timer_due {});
}

void duty_runner::refresh(unix_time timeOfDay, std::vector<std::string> peers)
{
    const auto offset = timeOfDay.time_since_epoch() - std::chrono::steady_clock::now().time_since_epoch();
    post(duties::time_corrected { std::chrono::duration_cast<duration>(offset) });
    post(duties::deputies_changed { std::move(peers) });
}

void duty_runner::execute(duties::duty_effect& effect)
{
    const auto visitor = overloaded {
        [this](const duties::call_duty_store& call) { m_client.start(call, m_store); },
        [this](const duties::send_usage_report& report) { m_client.start(report, m_platformApi); },
        [this](const duties::cancel_duty_call& cancel) { m_client.cancel(cancel); },
        [this](const duties::collectors_changed& changed) { m_callbacks.onCollectors(changed.addresses); },
        [](const log_event& event) { writeLog(event); },
        [this](const auto& metric) { m_metrics.apply(metric); },
    };
    std::visit(visitor, effect);
}

} // namespace kumquat
