#include "processes/fleet_client.h"

#include "core/overloaded.h"
#include "drivers/http/admin_client.h"
#include "drivers/json/publication_codec.h"
#include "drivers/openssl/digest.h"
#include "processes/platform_watcher.h"
#include "servers/config/document_publisher.h"

#include <deque>
#include <thread>

namespace kumquat {

fleet_client::fleet_client(operator_settings settings)
    : m_settings(std::move(settings))
    , m_store({ .host = m_settings.objectApi.host, .port = m_settings.objectApi.port })
{
}

result<stored_object> fleet_client::readDocument() const
{
    return m_store.read(documentKey);
}

nodes_answered fleet_client::askNodes() const
{
    nodes_answered event;
    const auto answers = fetchFromNodes(m_settings.nodes, "/dump");
    for (std::size_t index = 0; index < answers.size(); ++index) {
        if (errorOf(answers[index])) {
            event.unreachable++;
            continue;
        }
        auto parsed = parseNodeVersion(m_settings.nodes[index], valueOf(answers[index]));
        if (errorOf(parsed))
            event.unreachable++;
        else
            event.nodes.push_back(std::move(valueOf(parsed)));
    }
    return event;
}

publisher_event fleet_client::perform(const read_publication&) const
{
    const auto answer = readDocument();
    if (const auto* failure = errorOf(answer))
        return publication_read_failed { failure->message };
    const auto& object = valueOf(answer);
    if (object.version == 0)
        return publication_read {};
    auto parsed = parseStoredPublication(object.version, object.value);
    if (const auto* failure = errorOf(parsed))
        return publication_read_failed { failure->message };
    return publication_read { std::move(valueOf(parsed)) };
}

publisher_event fleet_client::perform(const write_publication& request, const std::string& documentText) const
{
    const auto text = composePublication(documentText, request.history, request.lastRepairGeneration);
    if (const auto* failure = errorOf(text))
        return publication_write_unanswered { failure->message };
    const auto outcome = m_store.update(documentKey, request.expectedVersion, valueOf(text));
    const auto visitor = overloaded {
        [](const stored_object&) -> publisher_event { return publication_written {}; },
        [](const version_conflict&) -> publisher_event { return publication_refused {}; },
        [](const response_lost& failure) -> publisher_event { return publication_write_unanswered { failure.message }; },
    };
    return std::visit(visitor, outcome);
}

publication_outcome fleet_client::publish(const std::string& documentText, const std::string& operatorName, std::optional<std::uint64_t> baseGeneration) const
{
    document_publisher publisher({ .submissionId = operatorName + "-" + std::to_string(randomNonZero()),
        .operatorName = operatorName,
        .baseGeneration = baseGeneration,
        .hasNodes = !m_settings.nodes.empty() });
    std::deque<publisher_event> events { publication_requested {} };
    while (true) {
        if (events.empty()) {
            std::this_thread::sleep_until(*publisher.nextDeadline());
            events.emplace_back(publisher_timer_due {});
        }
        publisher_effects effects;
        publisher.step(events.front(), std::chrono::steady_clock::now(), effects);
        events.pop_front();
        for (const auto& effect : effects) {
            if (const auto* ended = std::get_if<publication_ended>(&effect))
                return ended->outcome;
            if (const auto* write = std::get_if<write_publication>(&effect))
                events.push_back(perform(*write, documentText));
            else if (const auto* read = std::get_if<read_publication>(&effect))
                events.push_back(perform(*read));
            else
                events.emplace_back(askNodes());
        }
    }
}

} // namespace kumquat
