#include "servers/entry/entry_reducer.h"

#include "core/overloaded.h"

namespace kumquat {

void entry_reducer::receive(const document_request& message)
{
    stepKeeper(message);
}

void entry_reducer::receive(const document_difference& message)
{
    stepKeeper(message);
}

void entry_reducer::receive(const full_document& message)
{
    stepKeeper(message);
}

void entry_reducer::handle(const entry_keeper_event& event)
{
    stepKeeper(event.event);
}

void entry_reducer::stepKeeper(const keeper_event& event)
{
    keeper_effects effects;
    m_keeper.step(event, m_now, effects);
    const auto visitor = overloaded {
        [this](send_to_keeper& send) { m_effects->push_back(send_to_sidecar { std::move(send.address), std::move(send.message) }); },
        [this](adopt_document& adopt) { handle(entry_document_received { adopt.document->contents }); },
        [this](auto& other) { m_effects->push_back(std::move(other)); },
    };
    for (auto& effect : effects)
        std::visit(visitor, effect);
}

void entry_reducer::handle(const entry_document_received& event)
{
    // Documents of a smaller generation are ignored. Between documents of one generation the document keeper has decided.
    if (event.contents->generation() < generation())
        return;
    m_document = event.contents;
    m_effects->push_back(log_event { log_level::info, "document_adopted", { { "generation", std::to_string(generation()) } } });
}

} // namespace kumquat
