#include "servers/config/document_publisher.h"

#include <algorithm>

namespace kumquat {

document_publisher::document_publisher(options settings)
    : m_options(std::move(settings))
{
}

void document_publisher::step(const publisher_event& event, instant now, publisher_effects& effects)
{
    m_now = now;
    m_effects = &effects;
    std::visit([this](const auto& concrete) { handle(concrete); }, event);
    m_effects = nullptr;
}

void document_publisher::handle(const publication_requested&)
{
    m_storeDeadline = m_now + m_options.storeTimeout;
    m_effects->push_back(ask_nodes {});
}

void document_publisher::handle(const nodes_answered& event)
{
    if (m_phase == phase::awaiting_propagation) {
        checkPropagation(event);
        return;
    }
    if (m_phase == phase::checking_nodes) {
        const bool inForce = std::any_of(event.nodes.begin(), event.nodes.end(), [this](const node_version& node) { return node.submissionId == m_submission.id; });
        if (inForce)
            awaitPropagation();
        else
            end(publication_conflict { *m_conflictingSubmission });
        return;
    }
    if (m_phase != phase::querying_generation)
        return;
    if (m_options.hasNodes && event.nodes.empty()) {
        end(publication_not_sent { "no node answered, so the greatest generation in force is unknown" });
        return;
    }
    for (const auto& node : event.nodes) {
        if (node.generation > m_maxNodeGeneration) {
            m_maxNodeGeneration = node.generation;
            m_maxGenerationNode = node.node;
        }
    }
    m_phase = phase::reading_base;
    m_effects->push_back(read_publication {});
}

void document_publisher::handle(const publication_read& event)
{
    if (m_phase == phase::reading_base)
        prepare(event.stored);
    else if (m_phase == phase::resolving)
        resolve(event.stored);
}

void document_publisher::handle(const publication_read_failed& event)
{
    m_lastError = event.message;
    m_baseUnchanged = false;
    retryLater();
}

// A store that was restored to an older version has a smaller generation than the nodes, so the publication takes a
// generation above both.
void document_publisher::prepare(const stored_publication& stored)
{
    const auto inForce = std::max(stored.latest.generation, m_maxNodeGeneration);
    if (m_options.baseGeneration && *m_options.baseGeneration != inForce) {
        const submission onNode { .generation = inForce, .operatorName = "an operator whose publication is in force on node " + m_maxGenerationNode };
        end(publication_conflict { stored.latest.generation == inForce ? stored.latest : onNode });
        return;
    }
    m_base = stored;
    m_submission = { inForce + 1, m_options.submissionId, m_options.operatorName };
    write();
}

void document_publisher::write()
{
    m_phase = phase::writing;
    auto history = m_base.history;
    history.push_back(m_submission);
    if (history.size() > m_options.historyLength)
        history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(m_options.historyLength));
    m_effects->push_back(write_publication { m_base.storeVersion, std::move(history), m_base.lastRepairGeneration });
}

void document_publisher::handle(const publication_written&)
{
    if (m_phase == phase::writing)
        awaitPropagation();
}

void document_publisher::handle(const publication_refused&)
{
    if (m_phase != phase::writing)
        return;
    m_phase = phase::resolving;
    m_effects->push_back(read_publication {});
}

void document_publisher::handle(const publication_write_unanswered& event)
{
    if (m_phase != phase::writing)
        return;
    m_hasUnansweredWrite = true;
    m_lastError = event.message;
    m_phase = phase::resolving;
    m_effects->push_back(read_publication {});
}

void document_publisher::resolve(const stored_publication& stored)
{
    const auto& history = stored.history;
    const bool isInHistory = std::any_of(history.begin(), history.end(), [this](const submission& item) { return item.id == m_submission.id; });
    if (isInHistory) {
        awaitPropagation();
        return;
    }
    // A restored store may show the same version with another document.
    m_baseUnchanged = stored.storeVersion == m_base.storeVersion && stored.latest.id == m_base.latest.id;
    if (m_baseUnchanged) {
        // The unanswered write may still take effect, so the same conditional write is repeated until one of the two is
        // answered.
        retryLater();
        return;
    }
    if (!m_hasUnansweredWrite) {
        end(publication_conflict { stored.latest });
        return;
    }
    m_conflictingSubmission = findConflictingSubmission(stored);
    if (!m_conflictingSubmission) {
        end(publication_unknown { "the store's history does not show the outcome of generation " + std::to_string(generation()) });
        return;
    }
    // The store may have been restored after the unanswered write took effect. It then no longer shows this publication,
    // although nodes may have it in force.
    m_phase = phase::checking_nodes;
    m_effects->push_back(ask_nodes {});
}

std::optional<submission> document_publisher::findConflictingSubmission(const stored_publication& stored) const
{
    // A repair of the store may have overwritten this publication after it took effect.
    if (stored.lastRepairGeneration >= generation())
        return std::nullopt;
    const auto& history = stored.history;
    const auto found = std::find_if(history.begin(), history.end(), [this](const submission& item) { return item.generation == generation(); });
    if (found == history.end())
        return std::nullopt;
    const bool hasBase = m_base.storeVersion != 0;
    if (!hasBase)
        return found == history.begin() ? std::optional(*found) : std::nullopt;
    if (found == history.begin() || std::prev(found)->id != m_base.latest.id)
        return std::nullopt;
    return *found;
}

void document_publisher::retryLater()
{
    if (m_now < m_storeDeadline) {
        m_nextDeadline = m_now + m_options.retryInterval;
        return;
    }
    if (m_hasUnansweredWrite)
        end(publication_unknown { "the store did not confirm whether it accepted the document: " + m_lastError });
    else if (m_phase == phase::resolving)
        end(publication_conflict { .other = { .operatorName = "another operator; the store cannot be read to find out which" } });
    else
        end(publication_not_sent { "the store cannot be read: " + m_lastError });
}

void document_publisher::handle(const publisher_timer_due&)
{
    if (!m_nextDeadline || *m_nextDeadline > m_now)
        return;
    m_nextDeadline.reset();
    if (m_phase == phase::awaiting_propagation)
        m_effects->push_back(ask_nodes {});
    else if (m_phase == phase::resolving && m_hasUnansweredWrite && m_baseUnchanged)
        write();
    else
        m_effects->push_back(read_publication {});
}

void document_publisher::awaitPropagation()
{
    m_phase = phase::awaiting_propagation;
    m_propagationDeadline = m_now + m_options.propagationTimeout;
    m_effects->push_back(ask_nodes {});
}

void document_publisher::checkPropagation(const nodes_answered& event)
{
    publication_accepted outcome { .generation = generation(), .nodesAsked = event.nodes.size() + event.unreachable, .nodesUnreachable = event.unreachable };
    for (const auto& node : event.nodes) {
        if (node.submissionId == m_submission.id)
            outcome.nodesInForce++;
        else if (node.generation >= generation())
            outcome.supersededOnNode = node.node;
    }
    const bool isInForceEverywhere = outcome.nodesInForce == outcome.nodesAsked;
    if (isInForceEverywhere || m_now >= m_propagationDeadline) {
        end(outcome);
        return;
    }
    m_nextDeadline = m_now + m_options.retryInterval;
}

void document_publisher::end(publication_outcome outcome)
{
    m_phase = phase::ended;
    m_nextDeadline.reset();
    m_effects->push_back(publication_ended { std::move(outcome) });
}

} // namespace kumquat
