#pragma once

#include "servers/sidecar/attempt_record.h"

#include <map>
#include <vector>

namespace kumquat {

// Counts the work of each tier as it changes, so that a report costs the same whatever the length of the queue.
class load_tally {
public:
    void queued(attempt_record&);
    void started(attempt_record&);
    void produced(attempt_record&, std::uint32_t tokens);
    void ended(attempt_record&);

    // Returns the tiers that have work, highest first.
    std::vector<tier_load> tiers() const;

private:
    void leave(attempt_record&);
    void enter(attempt_record&, load_stage);

    std::map<std::uint32_t, tier_load> m_tiers;
};

} // namespace kumquat
