#include "servers/sidecar/sidecar_reducer.h"

#include <algorithm>

namespace kumquat {

report sidecar_reducer::makeReport() const
{
    report result;
    result.from = { m_options.id, m_options.address, m_options.incarnation };
    result.service = m_options.service;
    result.dataCentre = m_options.dataCentre;
    result.generation = generation();
    result.documentHash = m_documentManager.version().hash;
    result.leaving = m_draining;
    result.healthy = m_healthy;
    result.slots = m_scheduler->usableSlots();
    result.freeSlots = result.slots - std::min(result.slots, runningCount());
    result.tokensPerSecond = m_scheduler->statistics().tokensPerSecond();
    result.tiers = m_scheduler->load();
    result.suspects = m_scheduler->suspects().suspects();
    result.refusedFingerprints = m_scheduler->suspects().refused();
    return result;
}

void sidecar_reducer::publishReport()
{
    sendReport(m_entries.markAllReported(m_now));
    m_lastReportedLoad = runningCount() + static_cast<std::uint32_t>(queuedCount());
    m_reportedSuspectsVersion = m_scheduler->suspects().version();
    scheduleReport();
}

void sidecar_reducer::publishDueReports()
{
    sendReport(m_entries.markDueReported(m_now));
    scheduleReport();
}

void sidecar_reducer::sendReport(const std::vector<peer_identity>& receivers)
{
    if (receivers.empty())
        return;
    const auto current = makeReport();
    for (const auto& entry : receivers)
        send(entry.address, current);
}

void sidecar_reducer::scheduleReport()
{
    m_nextReportAt = m_entries.hasEntries() ? std::optional(m_now + m_options.reportInterval) : std::nullopt;
}

void sidecar_reducer::publishReportOnLargeChange()
{
    const auto load = runningCount() + static_cast<std::uint32_t>(queuedCount());
    const auto difference = load > m_lastReportedLoad ? load - m_lastReportedLoad : m_lastReportedLoad - load;
    const bool isLargeChange = difference > std::max(m_options.slots / 2, 1U);
    const bool hasSuspectChange = m_reportedSuspectsVersion != m_scheduler->suspects().version();
    if (hasSuspectChange)
        count("kumquat_sidecar_suspicions_total");
    if (isLargeChange || hasSuspectChange)
        publishReport();
}

// A violation is a fault of the scheduler. It affects the order of service but not the correctness of answers, so it is logged
// and counted, and the process continues.
void sidecar_reducer::reportViolations()
{
    const auto& invariants = m_scheduler->invariants();
    if (invariants.violationCount() == m_reportedViolations)
        return;
    m_reportedViolations = invariants.violationCount();
    m_effects->push_back(log_event { log_level::error, "invariant_violated", { { "upstream", m_options.id }, { "message", invariants.violations().back() } } });
    count("kumquat_sidecar_invariant_violations_total");
}

} // namespace kumquat
