#include "servers/sidecar/sidecar_reducer.h"

#include "core/overloaded.h"

namespace kumquat {

void sidecar_reducer::receive(const document_request& message)
{
    stepKeeper(message);
}

void sidecar_reducer::receive(const document_difference& message)
{
    stepKeeper(message);
}

void sidecar_reducer::receive(const full_document& message)
{
    stepKeeper(message);
}

void sidecar_reducer::handle(const sidecar_keeper_event& event)
{
    stepKeeper(event.event);
}

void sidecar_reducer::stepKeeper(const keeper_event& event)
{
    keeper_effects effects;
    m_keeper.step(event, m_now, effects);
    const auto visitor = overloaded {
        [this](send_to_keeper& message) { send(message.address, std::move(message.message)); },
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
    // Of different documents with the same generation, the keeper has selected this one.
    if (event.contents->generation() < generation())
        return;
    m_scheduler->adopt(event.contents);
    m_effects->push_back(log_event { log_level::info, "document_adopted", { { "generation", std::to_string(generation()) } } });
}

} // namespace kumquat
