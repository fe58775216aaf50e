#include "servers/config/document_manager.h"

#include "servers/config/watcher_election.h"

#include <algorithm>

namespace kumquat {

document_manager::document_manager(document_manager_options options)
    : m_options(std::move(options))
    , m_journal(m_options.maxJournalSteps, m_options.maxJournalBytes)
{
}

void document_manager::step(const document_event& event, instant now, document_effects& effects)
{
    m_now = now;
    m_effects = &effects;
    std::visit([this](const auto& concrete) { handle(concrete); }, event);
    m_effects = nullptr;
}

std::optional<instant> document_manager::nextDeadline() const
{
    std::optional<instant> next;
    const auto consider = [&](const std::optional<instant>& candidate) {
        if (candidate && (!next || *candidate < *next))
            next = candidate;
    };
    consider(m_nextPoll);
    consider(m_nextRepair);
    if (m_pendingPoll)
        consider(m_pendingPoll->expiresAt);
    return next;
}

document_version document_manager::version() const
{
    return m_documentInForce ? m_documentInForce->version : document_version {};
}

void document_manager::handle(const document_loaded& event)
{
    m_assembling = false;
    if (event.document->version <= version())
        return;
    for (const auto& step : event.steps)
        m_journal.append(step);
    const auto previous = m_documentInForce;
    adopt(event.document);
    // Every watcher pushes the document on, even if another watcher read it from the store first.
    if (!event.steps.empty())
        pushStep(event.steps.back());
    else if (previous)
        m_effects->push_back(compute_step { previous, m_documentInForce });
}

void document_manager::handle(const document_rejected& event)
{
    m_assembling = false;
    log(log_level::error, "document_rejected", { { "message", event.message } });
    m_effects->push_back(count_metric { "kumquat_document_rejected_total", {} });
}

void document_manager::handle(const store_document_read& event)
{
    const auto stored = event.document ? event.document->version : document_version {};
    if (stored < version()) {
        if (m_staleStoreVersion == event.storeVersion)
            return;
        if (stored.generation == version().generation)
            log(log_level::error, "document_conflict", { { "generation", std::to_string(stored.generation) } });
        log(log_level::warning, "store_is_behind", { { "stored_generation", std::to_string(stored.generation) }, { "generation", std::to_string(version().generation) } });
        m_staleStoreVersion = event.storeVersion;
        repairStore();
        return;
    }
    m_staleStoreVersion.reset();
    m_nextRepair.reset();
    if (stored == version())
        return;
    const auto previous = m_documentInForce;
    adopt(event.document);
    if (previous)
        m_effects->push_back(compute_step { previous, m_documentInForce });
}

void document_manager::adopt(const versioned_document_ptr& document)
{
    if (m_documentInForce && m_documentInForce->version.generation == document->version.generation)
        log(log_level::error, "document_conflict", { { "generation", std::to_string(document->version.generation) } });
    m_documentInForce = document;
    m_pendingRequest.reset();
    m_effects->push_back(adopt_document { document });
    m_effects->push_back(count_metric { "kumquat_document_adopted_total", {} });
}

void document_manager::handle(const step_computed& event)
{
    if (event.step.to != version())
        return;
    m_journal.append(event.step);
    pushStep(event.step);
}

void document_manager::pushStep(const document_step& step)
{
    if (!m_isWatcher)
        return;
    for (const auto& target : pushTargets())
        send(target.address, document_difference { m_options.self, step.to, { step } });
}

// Returns the other entries of this data centre and the watchers of every other data centre.
std::vector<instance> document_manager::pushTargets() const
{
    std::vector<instance> targets;
    std::set<std::string> otherDataCentres;
    for (const auto& entry : m_entries) {
        if (entry.dataCentre != m_options.dataCentre)
            otherDataCentres.insert(entry.dataCentre);
        else if (entry.id != m_options.self.id)
            targets.push_back(entry);
    }
    for (const auto& dataCentre : otherDataCentres) {
        const auto watchers = electWatchers(m_entries, dataCentre, {}, m_options.watchersPerDataCentre);
        targets.insert(targets.end(), watchers.begin(), watchers.end());
    }
    return targets;
}

void document_manager::handle(const peer_version_seen& event)
{
    if (event.version > version())
        requestDocumentFrom(event.peer);
}

void document_manager::requestDocumentFrom(const peer_identity& peer)
{
    if (m_assembling || (m_pendingRequest && m_pendingRequest->expiresAt > m_now))
        return;
    m_pendingRequest = pending_request { peer.id, m_now + m_options.answerTimeout };
    send(peer.address, document_request { m_options.self, version() });
}

void document_manager::handle(const document_request& message)
{
    recordContact(message.from.id);
    sendUpdateTo(message.from, message.version);
    if (message.version > version())
        requestDocumentFrom(message.from);
}

void document_manager::sendUpdateTo(const peer_identity& peer, const document_version& peerVersion)
{
    if (peerVersion >= version()) {
        send(peer.address, document_difference { m_options.self, version(), {} });
        return;
    }
    if (auto steps = m_journal.between(peerVersion, version())) {
        send(peer.address, document_difference { m_options.self, version(), std::move(*steps) });
        return;
    }
    send(peer.address, full_document { m_options.self, version(), m_documentInForce->text });
}

void document_manager::handle(const document_difference& message)
{
    recordContact(message.from.id);
    if (message.version <= version())
        return;
    // Steps that start from another version than this node's cannot be applied, so the node requests those that it lacks.
    const bool applies = m_documentInForce && !message.steps.empty() && message.steps.front().from == version() && message.steps.back().to == message.version;
    if (!applies) {
        m_pendingRequest.reset();
        requestDocumentFrom(message.from);
        return;
    }
    assemble({ .announcedVersion = message.version, .base = m_documentInForce, .steps = message.steps });
}

void document_manager::handle(const full_document& message)
{
    recordContact(message.from.id);
    if (message.version <= version())
        return;
    assemble({ .announcedVersion = message.version, .fullText = message.text });
}

// Only one document is assembled at a time. One that arrives meanwhile is discarded; if it is newer than the result, a
// later poll or version exchange requests it again.
void document_manager::assemble(assemble_document job)
{
    if (m_assembling)
        return;
    m_assembling = true;
    m_effects->push_back(std::move(job));
}

void document_manager::handle(const document_peers_listed& event)
{
    m_entries.clear();
    bool isListed = false;
    for (const auto& item : event.instances) {
        if (item.role != "entry")
            continue;
        m_entries.push_back(item);
        isListed = isListed || item.id == m_options.self.id;
    }
    // The platform's list may not name this entry yet, so the entry adds itself.
    if (!isListed && m_options.mayWatch)
        m_entries.push_back({ .id = m_options.self.id, .role = "entry", .dataCentre = m_options.dataCentre, .address = m_options.self.address });
    updateWatcherRole();
    if (!m_nextPoll)
        m_nextPoll = m_now;
}

std::set<std::string> document_manager::suspects() const
{
    std::set<std::string> suspectIds;
    for (const auto& [id, expiresAt] : m_suspectedUntil) {
        if (expiresAt > m_now)
            suspectIds.insert(id);
    }
    return suspectIds;
}

void document_manager::updateWatcherRole()
{
    if (!m_options.mayWatch)
        return;
    m_watchers = electWatchers(m_entries, m_options.dataCentre, suspects(), m_options.watchersPerDataCentre);
    const bool isWatcher = std::any_of(m_watchers.begin(), m_watchers.end(), [this](const instance& item) { return item.id == m_options.self.id; });
    if (isWatcher == m_isWatcher)
        return;
    m_isWatcher = isWatcher;
    if (!isWatcher) {
        m_staleStoreVersion.reset();
        m_nextRepair.reset();
    }
    m_effects->push_back(watch_store { isWatcher });
    log(log_level::info, "document_watch", { { "watching", isWatcher ? "true" : "false" } });
}

void document_manager::handle(const document_timer_due&)
{
    suspectUnresponsiveWatcher();
    if (m_nextPoll && *m_nextPoll <= m_now)
        pollWatcher();
    if (m_nextRepair && *m_nextRepair <= m_now)
        repairStore();
}

void document_manager::suspectUnresponsiveWatcher()
{
    if (!m_pendingPoll || m_pendingPoll->expiresAt > m_now)
        return;
    m_suspectedUntil[m_pendingPoll->peer] = m_now + m_options.suspicionTime;
    log(log_level::warning, "document_watcher_silent", { { "watcher", m_pendingPoll->peer } });
    m_pendingPoll.reset();
    m_nextPoll = m_now;
    updateWatcherRole();
}

// Polls the watchers in rotation. The answer delivers a document that this node missed and shows that the watcher is
// alive.
void document_manager::pollWatcher()
{
    m_nextPoll = m_now + m_options.pollInterval;
    std::erase_if(m_suspectedUntil, [this](const auto& item) { return item.second <= m_now; });
    updateWatcherRole();
    std::vector<instance> others;
    std::copy_if(m_watchers.begin(), m_watchers.end(), std::back_inserter(others), [this](const instance& item) { return item.id != m_options.self.id; });
    requestFromBootstrapPeer();
    if (others.empty() || m_pendingPoll)
        return;
    const auto& watcher = others[m_pollCount++ % others.size()];
    m_pendingPoll = pending_request { watcher.id, m_now + m_options.answerTimeout };
    send(watcher.address, document_request { m_options.self, version() });
}

// A node without a document may also have no list of instances; the peers in its settings are then the only addresses
// that it has.
void document_manager::requestFromBootstrapPeer()
{
    if (m_documentInForce || m_options.bootstrapPeers.empty())
        return;
    const auto& address = m_options.bootstrapPeers[m_bootstrapCount++ % m_options.bootstrapPeers.size()];
    send(address, document_request { m_options.self, version() });
}

void document_manager::recordContact(const std::string& peer)
{
    if (m_pendingPoll && m_pendingPoll->peer == peer)
        m_pendingPoll.reset();
    m_suspectedUntil.erase(peer);
}

// Writes the document in force back to a store that was restored from a backup. Later publications then build on it, and
// nodes that start from the store get it. A document that was never published (it has no submission id) is not written.
void document_manager::repairStore()
{
    m_nextRepair.reset();
    if (!m_isWatcher || !m_staleStoreVersion || !m_documentInForce || m_documentInForce->submissionId.empty())
        return;
    m_effects->push_back(repair_store { *m_staleStoreVersion, m_documentInForce });
    m_nextRepair = m_now + m_options.repairInterval;
}

void document_manager::send(const std::string& address, peer_message message)
{
    m_effects->push_back(send_document_message { address, std::move(message) });
}

void document_manager::log(log_level level, std::string name, std::vector<std::pair<std::string, std::string>> fields)
{
    m_effects->push_back(log_event { level, std::move(name), std::move(fields) });
}

} // namespace kumquat
