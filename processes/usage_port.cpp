#include "processes/usage_port.h"

#include "core/overloaded.h"
#include "drivers/cbor/usage_codec.h"
#include "drivers/spdlog/event_log.h"

namespace kumquat {

namespace {

    instant now()
    {
        return std::chrono::steady_clock::now();
    }

    unix_time timeOfDay()
    {
        return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }

} // namespace

usage_port::usage_port(metrics_registry& metrics, usage::usage_options options, datagram_sender send)
    : m_metrics(metrics)
    , m_exchange(std::move(options))
    , m_send(std::move(send))
{
}

void usage_port::receive(const std::string& host, const std::string& bytes)
{
    const auto decoded = decodeUsageMessage(bytes);
    if (const auto* failure = errorOf(decoded)) {
        writeLog({ log_level::warning, "usage_message_unreadable", { { "from", host }, { "reason", failure->message } } });
        return;
    }
    usage::usage_effects effects;
    m_exchange.receive(host, valueOf(decoded), now(), effects);
    execute(effects);
}

void usage_port::receive(const router_digest& digest)
{
    usage::usage_effects effects;
    m_exchange.receive(digest, now(), effects);
    execute(effects);
}

void usage_port::addTo(router_digest& digest)
{
    m_exchange.addTo(digest, now(), timeOfDay());
}

void usage_port::recordRun(const std::string& organisation, instant startedAt)
{
    m_exchange.recordRun(organisation, startedAt);
}

void usage_port::publish(const duty_announcement& announced)
{
    usage::usage_effects effects;
    m_exchange.publish(announced, now(), effects);
    execute(effects);
}

void usage_port::resumeAfterSuspension(duration gap)
{
    m_exchange.resumeAfterSuspension(gap, now());
}

void usage_port::resumeAfterStall()
{
    m_exchange.resumeAfterStall(now());
}

void usage_port::passTime()
{
    usage::usage_effects effects;
    m_exchange.passTime(now(), timeOfDay(), effects);
    execute(effects);
}

void usage_port::execute(const usage::usage_effects& effects)
{
    const auto visitor = overloaded {
        [this](const usage::send_usage_message& message) { m_send(message.address, encodeUsageMessage(message.message)); },
        [](const log_event& event) { writeLog(event); },
        [this](const auto& metric) { m_metrics.apply(metric); },
    };
    for (const auto& effect : effects)
        std::visit(visitor, effect);
}

} // namespace kumquat
