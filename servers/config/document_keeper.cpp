#include "servers/config/document_keeper.h"

#include "servers/config/watcher_election.h"

#include <algorithm>

namespace kumquat {

document_keeper::document_keeper(keeper_options options)
    : m_options(std::move(options))
    , m_journal(m_options.journalSteps, m_options.journalBytes)
{
}

void document_keeper::step(const keeper_event& event, instant now, keeper_effects& effects)
{
    m_now = now;
    m_effects = &effects;
    std::visit([this](const auto& concrete) { handle(concrete); }, event);
    m_effects = nullptr;
}

std::optional<instant> document_keeper::nextDeadline() const
{
    std::optional<instant> next;
    const auto consider = [&](const std::optional<instant>& candidate) {
        if (candidate && (!next || *candidate < *next))
            next = candidate;
    };
    consider(m_nextPoll);
    consider(m_nextRepair);
    if (m_poll)
        consider(m_poll->expiresAt);
    return next;
}

document_version document_keeper::version() const
{
    return m_held ? m_held->version : document_version {};
}

void document_keeper::handle(const document_opened& event)
{
    m_assembling = false;
    if (event.document->version <= version())
        return;
    for (const auto& step : event.steps)
        m_journal.append(step);
    const auto previous = m_held;
    adopt(event.document);
    // Every watcher pushes the document on, even if another watcher read it from the store first.
    if (!event.steps.empty())
        pushStep(event.steps.back());
    else if (previous)
        m_effects->push_back(make_step { previous, m_held });
}

void document_keeper::handle(const document_rejected& event)
{
    m_assembling = false;
    log(log_level::error, "document_rejected", { { "message", event.message } });
    m_effects->push_back(count_metric { "kumquat_document_rejected_total", {} });
}

void document_keeper::handle(const store_document_read& event)
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
    const auto previous = m_held;
    adopt(event.document);
    if (previous)
        m_effects->push_back(make_step { previous, m_held });
}

void document_keeper::adopt(const versioned_document_ptr& document)
{
    if (m_held && m_held->version.generation == document->version.generation)
        log(log_level::error, "document_conflict", { { "generation", std::to_string(document->version.generation) } });
    m_held = document;
    m_request.reset();
    m_effects->push_back(adopt_document { document });
    m_effects->push_back(count_metric { "kumquat_document_adopted_total", {} });
}

void document_keeper::handle(const step_made& event)
{
    if (event.step.to != version())
        return;
    m_journal.append(event.step);
    pushStep(event.step);
}

void document_keeper::pushStep(const document_step& step)
{
    if (!m_watching)
        return;
    for (const auto& target : pushTargets())
        send(target.address, document_difference { m_options.self, step.to, { step } });
}

// Returns the other entries of this data centre and the watchers of every other data centre.
std::vector<instance> document_keeper::pushTargets() const
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
        const auto watchers = chooseWatchers(m_entries, dataCentre, {}, m_options.watchersPerDataCentre);
        targets.insert(targets.end(), watchers.begin(), watchers.end());
    }
    return targets;
}

void document_keeper::handle(const peer_version_seen& event)
{
    if (event.version > version())
        requestFrom(event.peer);
}

void document_keeper::requestFrom(const peer_identity& peer)
{
    if (m_assembling || (m_request && m_request->expiresAt > m_now))
        return;
    m_request = pending_request { peer.id, m_now + m_options.answerTimeout };
    send(peer.address, document_request { m_options.self, version() });
}

void document_keeper::handle(const document_request& message)
{
    heardFrom(message.from.id);
    answerPeer(message.from, message.version);
    if (message.version > version())
        requestFrom(message.from);
}

void document_keeper::answerPeer(const peer_identity& peer, const document_version& theirs)
{
    if (theirs >= version()) {
        send(peer.address, document_difference { m_options.self, version(), {} });
        return;
    }
    if (auto steps = m_journal.between(theirs, version())) {
        send(peer.address, document_difference { m_options.self, version(), std::move(*steps) });
        return;
    }
    send(peer.address, full_document { m_options.self, version(), m_held->text });
}

void document_keeper::handle(const document_difference& message)
{
    heardFrom(message.from.id);
    if (message.version <= version())
        return;
    // The steps start from another version than this node's, so it requests the ones that it lacks.
    const bool applies = m_held && !message.steps.empty() && message.steps.front().from == version() && message.steps.back().to == message.version;
    if (!applies) {
        m_request.reset();
        requestFrom(message.from);
        return;
    }
    assemble({ .wanted = message.version, .base = m_held, .steps = message.steps });
}

void document_keeper::handle(const full_document& message)
{
    heardFrom(message.from.id);
    if (message.version <= version())
        return;
    assemble({ .wanted = message.version, .whole = message.text });
}

// Only one document is assembled at a time. One that arrives meanwhile is discarded; if it is newer than the result, a
// later poll or version exchange requests it again.
void document_keeper::assemble(assemble_document job)
{
    if (m_assembling)
        return;
    m_assembling = true;
    m_effects->push_back(std::move(job));
}

void document_keeper::handle(const keeper_peers_listed& event)
{
    m_entries.clear();
    bool listed = false;
    for (const auto& item : event.instances) {
        if (item.role != "entry")
            continue;
        m_entries.push_back(item);
        listed = listed || item.id == m_options.self.id;
    }
    // The platform's list may not name this entry yet, so the entry adds itself.
    if (!listed && m_options.mayWatch)
        m_entries.push_back({ .id = m_options.self.id, .role = "entry", .dataCentre = m_options.dataCentre, .address = m_options.self.address });
    updateRole();
    if (!m_nextPoll)
        m_nextPoll = m_now;
}

std::set<std::string> document_keeper::suspects() const
{
    std::set<std::string> found;
    for (const auto& [id, until] : m_suspectedUntil) {
        if (until > m_now)
            found.insert(id);
    }
    return found;
}

void document_keeper::updateRole()
{
    if (!m_options.mayWatch)
        return;
    m_watchers = chooseWatchers(m_entries, m_options.dataCentre, suspects(), m_options.watchersPerDataCentre);
    const bool isWatcher = std::any_of(m_watchers.begin(), m_watchers.end(), [this](const instance& item) { return item.id == m_options.self.id; });
    if (isWatcher == m_watching)
        return;
    m_watching = isWatcher;
    if (!isWatcher) {
        m_staleStoreVersion.reset();
        m_nextRepair.reset();
    }
    m_effects->push_back(watch_store { isWatcher });
    log(log_level::info, "document_watch", { { "watching", isWatcher ? "true" : "false" } });
}

void document_keeper::handle(const keeper_timer_due&)
{
    suspectSilentWatcher();
    if (m_nextPoll && *m_nextPoll <= m_now)
        pollWatcher();
    if (m_nextRepair && *m_nextRepair <= m_now)
        repairStore();
}

void document_keeper::suspectSilentWatcher()
{
    if (!m_poll || m_poll->expiresAt > m_now)
        return;
    m_suspectedUntil[m_poll->peer] = m_now + m_options.suspicionTime;
    log(log_level::warning, "document_watcher_silent", { { "watcher", m_poll->peer } });
    m_poll.reset();
    m_nextPoll = m_now;
    updateRole();
}

// Polls the watchers in rotation. The answer delivers a document that this node missed and shows that the watcher is
// alive.
void document_keeper::pollWatcher()
{
    m_nextPoll = m_now + m_options.pollInterval;
    std::erase_if(m_suspectedUntil, [this](const auto& item) { return item.second <= m_now; });
    updateRole();
    std::vector<instance> others;
    std::copy_if(m_watchers.begin(), m_watchers.end(), std::back_inserter(others), [this](const instance& item) { return item.id != m_options.self.id; });
    askBootstrapPeer();
    if (others.empty() || m_poll)
        return;
    const auto& chosen = others[m_pollCount++ % others.size()];
    m_poll = pending_request { chosen.id, m_now + m_options.answerTimeout };
    send(chosen.address, document_request { m_options.self, version() });
}

// A node without a document may also have no list of instances; the peers in its settings are then the only addresses
// that it has.
void document_keeper::askBootstrapPeer()
{
    if (m_held || m_options.bootstrapPeers.empty())
        return;
    const auto& address = m_options.bootstrapPeers[m_bootstrapCount++ % m_options.bootstrapPeers.size()];
    send(address, document_request { m_options.self, version() });
}

void document_keeper::heardFrom(const std::string& peer)
{
    if (m_poll && m_poll->peer == peer)
        m_poll.reset();
    m_suspectedUntil.erase(peer);
}

// Writes the document in force back to a store that was restored from a backup. Later publications then build on it, and
// nodes that start from the store get it. A document that was never published (it has no submission id) is not written.
void document_keeper::repairStore()
{
    m_nextRepair.reset();
    if (!m_watching || !m_staleStoreVersion || !m_held || m_held->submissionId.empty())
        return;
    m_effects->push_back(repair_store { *m_staleStoreVersion, m_held });
    m_nextRepair = m_now + m_options.repairInterval;
}

void document_keeper::send(const std::string& address, peer_message message)
{
    m_effects->push_back(send_to_keeper { address, std::move(message) });
}

void document_keeper::log(log_level level, std::string name, std::vector<std::pair<std::string, std::string>> fields)
{
    m_effects->push_back(log_event { level, std::move(name), std::move(fields) });
}

} // namespace kumquat
