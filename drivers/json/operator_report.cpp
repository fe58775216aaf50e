#include "drivers/json/operator_report.h"

#include "core/overloaded.h"

#include <nlohmann/json.hpp>

namespace kumquat {

namespace {

    using nlohmann::json;

    std::string formatJson(const json& root)
    {
        return root.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
    }

    json outcomeToJson(const publication_outcome& outcome)
    {
        const auto visitor = overloaded {
            [](const publication_accepted& item) -> json {
                return { { "outcome", "accepted" }, { "generation", item.generation }, { "nodes_in_force", item.nodesInForce }, { "nodes_asked", item.nodesAsked }, { "nodes_unreachable", item.nodesUnreachable }, { "displaced_on", item.supersededOnNode } };
            },
            [](const publication_conflict& item) -> json {
                return { { "outcome", "conflict" }, { "generation", item.other.generation }, { "operator", item.other.operatorName } };
            },
            [](const publication_not_sent& item) -> json { return { { "outcome", "not_sent" }, { "message", item.message } }; },
            [](const publication_unknown& item) -> json { return { { "outcome", "unknown" }, { "message", item.message } }; },
        };
        return std::visit(visitor, outcome);
    }

    std::string outcomeToText(const publication_accepted& item)
    {
        std::string text = "accepted as generation " + std::to_string(item.generation) + "; in force on " + std::to_string(item.nodesInForce) + " of " + std::to_string(item.nodesAsked) + " nodes";
        if (item.nodesUnreachable > 0)
            text += ", " + std::to_string(item.nodesUnreachable) + " did not answer";
        if (!item.supersededOnNode.empty())
            text += "\nnode " + item.supersededOnNode + " has another document of this or a later generation in force: compare with 'diff' and publish again if a change is missing";
        return text + "\n";
    }

    std::string outcomeToText(const publication_conflict& item)
    {
        return "conflict: generation " + std::to_string(item.other.generation) + " by " + item.other.operatorName + " is in force; nothing was changed. Compare with 'diff' and publish on top of it\n";
    }

    std::string outcomeToText(const publication_not_sent& item)
    {
        return "not published: " + item.message + "\n";
    }

    std::string outcomeToText(const publication_unknown& item)
    {
        return "unknown: the document may have been accepted, or may still be: " + item.message + ". Look at 'status' before publishing again\n";
    }

} // namespace

std::string formatChanges(const std::vector<document_change>& changes, bool asJson)
{
    if (asJson) {
        json list = json::array();
        for (const auto& change : changes)
            list.push_back({ { "path", change.path }, { "before", json::parse(change.before, nullptr, false).is_discarded() ? json() : json::parse(change.before) }, { "after", json::parse(change.after, nullptr, false).is_discarded() ? json() : json::parse(change.after) } });
        return formatJson({ { "changes", list } });
    }
    std::string text;
    for (const auto& change : changes) {
        if (!change.before.empty())
            text += "- " + change.path + " " + change.before + "\n";
        if (!change.after.empty())
            text += "+ " + change.path + " " + change.after + "\n";
    }
    return text.empty() ? "no difference\n" : text;
}

std::string formatOutcome(const publication_outcome& outcome, bool asJson)
{
    if (asJson)
        return formatJson(outcomeToJson(outcome));
    return std::visit([](const auto& item) { return outcomeToText(item); }, outcome);
}

std::string formatStatus(const fleet_status& status, bool asJson)
{
    if (asJson) {
        json nodes = json::array();
        for (const auto& node : status.nodes.nodes)
            nodes.push_back({ { "node", node.node }, { "generation", node.generation }, { "submission_id", node.submissionId } });
        return formatJson({ { "store", { { "generation", status.storedGeneration }, { "operator", status.storedOperator }, { "problem", status.storeProblem } } }, { "nodes", nodes }, { "nodes_unreachable", status.nodes.unreachable } });
    }
    std::string text = status.storeProblem.empty() ? "store: generation " + std::to_string(status.storedGeneration) + " by " + status.storedOperator + "\n" : "store: " + status.storeProblem + "\n";
    for (const auto& node : status.nodes.nodes)
        text += "node " + node.node + ": generation " + std::to_string(node.generation) + "\n";
    if (status.nodes.unreachable > 0)
        text += std::to_string(status.nodes.unreachable) + " nodes did not answer\n";
    return text;
}

std::string formatRequestLines(const std::vector<std::string>& lines, bool asJson)
{
    if (asJson) {
        json list = json::array();
        for (const auto& line : lines)
            list.push_back(json::parse(line));
        return formatJson({ { "found", list } });
    }
    std::string text;
    for (const auto& line : lines)
        text += line + "\n";
    return text;
}

std::string formatValidity(const std::string& problem, bool asJson)
{
    if (asJson)
        return formatJson({ { "valid", problem.empty() }, { "problem", problem } });
    return problem.empty() ? "valid\n" : problem + "\n";
}

} // namespace kumquat
