#include "servers/entry/entry_reducer.h"

#include "core/overloaded.h"

namespace kumquat {

void entry_reducer::receive(const document_request& message)
{
    stepDocumentManager(message);
}

void entry_reducer::receive(const document_difference& message)
{
    stepDocumentManager(message);
}

void entry_reducer::receive(const full_document& message)
{
    stepDocumentManager(message);
}

void entry_reducer::handle(const entry_document_event& event)
{
    stepDocumentManager(event.event);
}

void entry_reducer::stepDocumentManager(const document_event& event)
{
    document_effects effects;
    m_documentManager.step(event, m_now, effects);
    const auto visitor = overloaded {
        [this](send_document_message& send) { m_effects->push_back(send_to_sidecar { std::move(send.address), std::move(send.message) }); },
        [this](adopt_document& adopt) { handle(entry_document_received { adopt.document->contents }); },
        [this](auto& other) { m_effects->push_back(std::move(other)); },
    };
    for (auto& effect : effects)
        std::visit(visitor, effect);
}

void entry_reducer::handle(const entry_document_received& event)
{
    // Documents of a smaller generation are ignored. Between documents of one generation the document manager has decided.
    if (event.contents->generation() < generation())
        return;
    m_document = event.contents;
    m_effects->push_back(log_event { log_level::info, "document_adopted", { { "generation", std::to_string(generation()) } } });
}

} // namespace kumquat
