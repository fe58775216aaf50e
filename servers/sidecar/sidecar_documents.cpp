#include "servers/sidecar/sidecar_reducer.h"

#include "core/overloaded.h"

namespace kumquat {

void sidecar_reducer::receive(const document_request& message)
{
    stepDocumentManager(message);
}

void sidecar_reducer::receive(const document_difference& message)
{
    stepDocumentManager(message);
}

void sidecar_reducer::receive(const full_document& message)
{
    stepDocumentManager(message);
}

void sidecar_reducer::handle(const sidecar_document_event& event)
{
    stepDocumentManager(event.event);
}

void sidecar_reducer::stepDocumentManager(const document_event& event)
{
    document_effects effects;
    m_documentManager.step(event, m_now, effects);
    const auto visitor = overloaded {
        [this](send_document_message& message) { send(message.address, std::move(message.message)); },
        [this](adopt_document& adopt) { handle(document_received { adopt.document->contents }); },
        // Only entries watch and repair the document store.
        [](watch_store&) {},
        [](repair_store&) {},
        [this](auto& other) { m_effects->push_back(std::move(other)); },
    };
    for (auto& effect : effects)
        std::visit(visitor, effect);
}

void sidecar_reducer::handle(const document_received& event)
{
    // Of different documents with the same generation, the document manager has selected this one.
    if (event.contents->generation() < generation())
        return;
    m_scheduler->adopt(event.contents);
    m_effects->push_back(log_event { log_level::info, "document_adopted", { { "generation", std::to_string(generation()) } } });
}

} // namespace kumquat
