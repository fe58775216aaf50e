#include "servers/entry/entry_reducer.h"

namespace kumquat {

namespace {

    claim_options claimOptionsOf(const entry_options& options)
    {
        auto claims = options.claims;
        claims.self = { options.id, options.address, options.incarnation };
        return claims;
    }

} // namespace

entry_reducer::entry_reducer(entry_options options)
    : m_options(std::move(options))
    , m_documentManager({ .self = { m_options.id, m_options.address, m_options.incarnation }, .dataCentre = m_options.dataCentre, .mayWatch = true, .bootstrapPeers = m_options.documentPeers })
    , m_directory(m_options.reportTimeout)
    , m_selector(m_options.policy, m_options.dataCentre, m_options.seed)
    , m_claims(claimOptionsOf(m_options))
    , m_random(m_options.seed)
    , m_withdrawals(m_options.resendInterval, m_options.resendLimit)
    , m_retryBudget(m_options.retryBudget)
    , m_retryBackoff(m_options.retryBackoff, m_options.seed)
    , m_suspects(m_options.suspects)
    , m_leaseAllocator(m_options.leaseTime)
    , m_entryIds { m_options.id }
{
}

void entry_reducer::step(const entry_event& event, instant now, entry_effects& effects)
{
    m_now = now;
    m_effects = &effects;
    std::visit([this](const auto& concrete) { handle(concrete); }, event);
    stopWhenDrained();
    m_effects = nullptr;
}

std::optional<instant> entry_reducer::nextDeadline() const
{
    std::optional<instant> next;
    for (const auto& candidate : { m_timers.nextDeadline(), m_withdrawals.nextDeadline(), m_nextSubscriptionAt, m_nextLeaseRenewal, m_stopListeningAt, m_drainDeadline, m_claims.nextDeadline(), m_documentManager.nextDeadline() }) {
        if (candidate && (!next || *candidate < *next))
            next = candidate;
    }
    return next;
}

std::uint64_t entry_reducer::generation() const
{
    return m_document ? m_document->generation() : 0;
}

void entry_reducer::handle(const entry_drain_requested&)
{
    if (draining())
        return;
    m_stopListeningAt = m_now + m_options.drainGrace;
    m_drainDeadline = m_now + m_options.drainLimit;
    m_effects->push_back(log_event { log_level::info, "drain_started", { { "requests", std::to_string(m_requests.size()) } } });
}

void entry_reducer::handle(const entry_timer_due&)
{
    stepDocumentManager(document_timer_due {});
    while (const auto id = m_timers.popDue(m_now))
        onRequestTimer(m_requests.at(*id));
    stepClaims(claim_timer_due {});
    resendWithdrawals();
    if (m_nextLeaseRenewal && *m_nextLeaseRenewal <= m_now)
        renewLeases();
    if (m_nextSubscriptionAt && *m_nextSubscriptionAt <= m_now)
        subscribeToAll();
    if (m_stopListeningAt && *m_stopListeningAt <= m_now) {
        m_stopListeningAt.reset();
        m_effects->push_back(stop_listening {});
    }
}

void entry_reducer::stopWhenDrained()
{
    if (!draining() || m_stopListeningAt || m_stopped)
        return;
    const bool isBusy = !m_requests.empty() || m_claims.unstoredAnswerCount() > 0;
    if (isBusy && m_now < *m_drainDeadline)
        return;
    m_stopped = true;
    m_effects->push_back(log_event { log_level::info, "drain_finished", { { "requests", std::to_string(m_requests.size()) } } });
    failAllRequests();
    m_effects->push_back(stop_entry {});
}

void entry_reducer::log(log_level level, std::string name, const request_record& record, std::vector<std::pair<std::string, std::string>> extraFields)
{
    log_event event { level, std::move(name), { { "request", record.id } } };
    event.fields.insert(event.fields.end(), extraFields.begin(), extraFields.end());
    m_effects->push_back(std::move(event));
}

} // namespace kumquat
