#pragma once

#include "drivers/http/worker_pool.h"
#include "servers/config/keeper_effect.h"
#include "servers/config/keeper_event.h"

#include <functional>

namespace kumquat {

// Assembles documents and computes steps on a thread of its own, since reading a large document takes longer than a
// stream of tokens may pause.
class document_worker {
public:
    explicit document_worker(std::function<void(keeper_event)> onDone);
    ~document_worker();

    void assemble(const assemble_document&);
    void makeStep(const make_step&);

private:
    std::function<void(keeper_event)> m_onDone;
    worker_pool m_pool;
};

} // namespace kumquat
