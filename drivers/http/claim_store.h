#pragma once

#include "drivers/http/object_api_client.h"
#include "drivers/http/worker_pool.h"
#include "servers/claims/claim_effect.h"
#include "servers/claims/claim_event.h"

#include <functional>

namespace kumquat {

// Executes the claims' calls of the object API on threads of its own and reports their answers.
class claim_store {
public:
    // Without a host every call fails at once. The handler is called from the store's threads.
    claim_store(object_api_client::options, std::uint32_t shards, std::function<void(claim_event)> onAnswer);

    void execute(const claim_store_call&);
    void shutdown() { m_workers.shutdown(); }

private:
    void call(const list_claim_segments&);
    void call(const read_claim_segment&);
    void call(const write_claim_segment&);
    void call(const remove_claim_segment&);

    bool m_isConfigured;
    object_api_client m_client;
    std::function<void(claim_event)> m_onAnswer;
    worker_pool m_workers;
};

} // namespace kumquat
