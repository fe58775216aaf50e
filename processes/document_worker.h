#pragma once

#include "drivers/http/worker_pool.h"
#include "servers/config/document_effect.h"
#include "servers/config/document_event.h"

#include <functional>

namespace kumquat {

// Assembles documents and computes steps on its own thread, since parsing a large document takes longer than the event
// loop may delay streamed tokens. onDone is called on that thread.
class document_worker {
public:
    explicit document_worker(std::function<void(document_event)> onDone);
    ~document_worker();

    void assemble(const assemble_document&);
    void computeStep(const compute_step&);

private:
    std::function<void(document_event)> m_onDone;
    worker_pool m_pool;
};

} // namespace kumquat
