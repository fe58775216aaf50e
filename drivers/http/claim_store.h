#pragma once

#include "drivers/http/object_api_client.h"
#include "drivers/http/worker_pool.h"
#include "servers/claims/claim_effect.h"
#include "servers/claims/claim_event.h"

#include <functional>

namespace kumquat {

// Executes the object API calls of the claim journal on a thread pool and reports each outcome as a claim event.
class claim_store {
public:
    // With an empty host every call fails at once. The handler is called on threads of the pool.
    claim_store(object_api_client::options, std::uint32_t shards, std::function<void(claim_event)> onEvent);

    // Queues the call. Removals of segments are not reported.
    void execute(const claim_store_call&);
    // Finishes the queued calls and joins the threads.
    void shutdown() { m_workers.shutdown(); }

private:
    void call(const list_claim_segments&);
    void call(const read_claim_segment&);
    void call(const write_claim_segment&);
    void call(const remove_claim_segment&);

    bool m_isConfigured;
    object_api_client m_client;
    std::function<void(claim_event)> m_onEvent;
    worker_pool m_workers;
};

} // namespace kumquat
