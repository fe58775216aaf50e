#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::router {

// For how long each service has had upstreams of one software version alone, as far as this router has followed the records without a
// gap. While that is longer than any stream lives, all streams of the service began at that version.
class version_history {
public:
    // Records the versions of the upstreams of a service that the store lists now, as hashes of service and version. Returns
    // whether they have changed.
    bool record(const std::string& service, const std::set<std::uint64_t>& versions, instant now);
    // Forgets what came before, since the router may have missed changes of the records.
    void restart(instant now);
    // Takes over from another router since when a version has been alone in its service, if it is alone there for this router too.
    void adopt(std::uint64_t version, instant since);
    // The versions that are alone in their services, and since when.
    std::vector<std::pair<std::uint64_t, instant>> soleVersions() const;
    // The version that the service has had alone for a time, or nothing if there is none or the router has not followed it so long.
    std::optional<std::uint64_t> onlyVersion(const std::string& service, duration time, instant now) const;

private:
    struct service_versions {
        std::set<std::uint64_t> versions;
        // Since when the service is known to have had these versions without a gap.
        instant since;
    };

    std::map<std::string, service_versions> m_services;
};

} // namespace kumquat::router
