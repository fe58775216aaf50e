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
    m_storeDeadline = m_now + m_options.storeLimit;
    m_effects->push_back(ask_nodes {});
}

void document_publisher::handle(const nodes_answered& event)
{
    if (m_phase == phase::following) {
        judgeSpread(event);
        return;
    }
    if (m_phase == phase::checking_nodes) {
        const bool inForce = std::any_of(event.nodes.begin(), event.nodes.end(), [this](const node_version& node) { return node.submissionId == m_own.id; });
        if (inForce)
            follow();
        else
            end(publication_conflict { *m_winner });
        return;
    }
    if (m_phase != phase::asking_generation)
        return;
    if (m_options.hasNodes && event.nodes.empty()) {
        end(publication_not_sent { "no node answered, so the greatest generation in force is not known" });
        return;
    }
    for (const auto& node : event.nodes) {
        if (node.generation > m_greatestOnNodes) {
            m_greatestOnNodes = node.generation;
            m_greatestNode = node.node;
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
    m_lastProblem = event.message;
    m_baseUnchanged = false;
    retryLater();
}

// A store that was restored to an older version holds a smaller generation than the nodes; the publication goes above both.
void document_publisher::prepare(const stored_publication& stored)
{
    const auto inForce = std::max(stored.latest.generation, m_greatestOnNodes);
    if (m_options.baseGeneration && *m_options.baseGeneration != inForce) {
        const submission onNode { .generation = inForce, .operatorName = "an operator whose publication is in force on node " + m_greatestNode };
        end(publication_conflict { stored.latest.generation == inForce ? stored.latest : onNode });
        return;
    }
    m_base = stored;
    m_own = { inForce + 1, m_options.submissionId, m_options.operatorName };
    write();
}

void document_publisher::write()
{
    m_phase = phase::writing;
    auto history = m_base.history;
    history.push_back(m_own);
    if (history.size() > m_options.historyLength)
        history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(m_options.historyLength));
    m_effects->push_back(write_publication { m_base.storeVersion, std::move(history), m_base.lastRepairGeneration });
}

void document_publisher::handle(const publication_written&)
{
    if (m_phase == phase::writing)
        follow();
}

void document_publisher::handle(const publication_refused&)
{
    if (m_phase != phase::writing)
        return;
    m_phase = phase::resolving;
    m_effects->push_back(read_publication {});
}

void document_publisher::handle(const publication_write_lost& event)
{
    if (m_phase != phase::writing)
        return;
    m_lostWrite = true;
    m_lastProblem = event.message;
    m_phase = phase::resolving;
    m_effects->push_back(read_publication {});
}

void document_publisher::resolve(const stored_publication& stored)
{
    const auto& history = stored.history;
    const bool landed = std::any_of(history.begin(), history.end(), [this](const submission& item) { return item.id == m_own.id; });
    if (landed) {
        follow();
        return;
    }
    // A restored store may show the same version with another document.
    m_baseUnchanged = stored.storeVersion == m_base.storeVersion && stored.latest.id == m_base.latest.id;
    if (m_baseUnchanged) {
        // The lost write may still land, so the same conditional write is sent again until one of them is answered.
        retryLater();
        return;
    }
    if (!m_lostWrite) {
        end(publication_conflict { stored.latest });
        return;
    }
    m_winner = findWinner(stored);
    if (!m_winner) {
        end(publication_unknown { "the store's history does not show what became of generation " + std::to_string(generation()) });
        return;
    }
    // A store that was restored between the lost write and now would hide a publication that nodes have in force.
    m_phase = phase::checking_nodes;
    m_effects->push_back(ask_nodes {});
}

std::optional<submission> document_publisher::findWinner(const stored_publication& stored) const
{
    // A repair may have displaced this publication after it took effect.
    if (stored.lastRepairGeneration >= generation())
        return std::nullopt;
    const auto& history = stored.history;
    const auto winner = std::find_if(history.begin(), history.end(), [this](const submission& item) { return item.generation == generation(); });
    if (winner == history.end())
        return std::nullopt;
    const bool hasBase = m_base.storeVersion != 0;
    if (!hasBase)
        return winner == history.begin() ? std::optional(*winner) : std::nullopt;
    if (winner == history.begin() || std::prev(winner)->id != m_base.latest.id)
        return std::nullopt;
    return *winner;
}

void document_publisher::retryLater()
{
    if (m_now < m_storeDeadline) {
        m_nextStep = m_now + m_options.retryInterval;
        return;
    }
    if (m_lostWrite)
        end(publication_unknown { "the store did not say what became of the document: " + m_lastProblem });
    else if (m_phase == phase::resolving)
        end(publication_conflict { .other = { .operatorName = "another operator; the store cannot be read to say who" } });
    else
        end(publication_not_sent { "the store cannot be read: " + m_lastProblem });
}

void document_publisher::handle(const publisher_timer_due&)
{
    if (!m_nextStep || *m_nextStep > m_now)
        return;
    m_nextStep.reset();
    if (m_phase == phase::following)
        m_effects->push_back(ask_nodes {});
    else if (m_phase == phase::resolving && m_lostWrite && m_baseUnchanged)
        write();
    else
        m_effects->push_back(read_publication {});
}

void document_publisher::follow()
{
    m_phase = phase::following;
    m_followDeadline = m_now + m_options.followLimit;
    m_effects->push_back(ask_nodes {});
}

void document_publisher::judgeSpread(const nodes_answered& event)
{
    publication_accepted outcome { .generation = generation(), .nodesAsked = event.nodes.size() + event.unreachable, .nodesUnreachable = event.unreachable };
    for (const auto& node : event.nodes) {
        if (node.submissionId == m_own.id)
            outcome.nodesInForce++;
        else if (node.generation >= generation())
            outcome.displacedOn = node.node;
    }
    const bool isEverywhere = outcome.nodesInForce == outcome.nodesAsked;
    if (isEverywhere || m_now >= m_followDeadline) {
        end(outcome);
        return;
    }
    m_nextStep = m_now + m_options.retryInterval;
}

void document_publisher::end(publication_outcome outcome)
{
    m_phase = phase::ended;
    m_nextStep.reset();
    m_effects->push_back(publication_ended { std::move(outcome) });
}

} // namespace kumquat
