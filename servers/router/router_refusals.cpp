#include "servers/router/router_reducer.h"

#include "core/overloaded.h"

// How refused suspects are kept in the store.

namespace kumquat::router {

namespace {

    // The store answers a call in milliseconds; a call without an answer for this long has failed.
    constexpr auto callTimeout = std::chrono::milliseconds(900);

} // namespace

void router_reducer::callRefusalStore()
{
    if (auto call = m_refusalStore.nextCall(m_now)) {
        m_refusalCall = ++m_lastId;
        emit(call_refusal_store { m_refusalCall, std::move(*call) });
        setTimer(timer_kind::read_timeout, m_refusalCall, m_now + callTimeout);
    }
    if (const auto next = m_refusalStore.nextCallAt())
        setTimer(timer_kind::refusal_call, 0, *next);
}

bool router_reducer::endRefusalCall(std::uint64_t call, std::optional<std::uint64_t> era)
{
    if (call != m_refusalCall || call == 0)
        return false;
    m_refusalCall = 0;
    m_timers.cancel({ timer_kind::read_timeout, call });
    followEra(era);
    return true;
}

void router_reducer::on(refusals_listed&& listed)
{
    if (!endRefusalCall(listed.call, listed.era))
        return;
    if (const auto* failed = std::get_if<store_read_failed>(&listed.outcome))
        log(log_level::warning, "refusals_unread", { { "reason", failed->reason } });
    crash_news stored;
    stored.refused = m_refusalStore.onListed(std::move(listed.outcome), m_now);
    m_crashes.learn(stored, news_origin::other_data_centre, m_now);
    actOnNewRefusals();
}

void router_reducer::on(refusal_written&& written)
{
    if (!endRefusalCall(written.call, written.era))
        return;
    if (written.outcome == store_write_outcome::failed)
        log(log_level::warning, "refusal_unwritten", { { "reason", written.reason } });
    m_refusalStore.onWritten(written.outcome, m_now);
}

void router_reducer::timeOutRefusalCall()
{
    const auto call = std::exchange(m_refusalCall, 0);
    emit(cancel_store_read { call });
    log(log_level::warning, "refusals_unread", { { "reason", "timeout" } });
    m_refusalStore.onTimeout(m_now);
}

} // namespace kumquat::router
