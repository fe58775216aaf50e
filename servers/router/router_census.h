#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquat::router {

// The routers that may be sending requests, as far as this router knows. Unlike a peer_group it counts a router for some time after
// its last digest, since a router that is out of touch may still serve.
class router_census {
public:
    // The number of routers that is assumed while none has been in touch.
    static constexpr int assumedCount = 8;

    // Sets the name and the data centre of this router, and whether its settings name others.
    void setSelf(const std::string& instance, const std::string& dataCentre, bool expectsOthers);
    // Records the other routers of this data centre, and the number of routers in each other data centre, that are in touch now.
    void update(const std::vector<std::string>& neighbours, const std::map<std::string, int>& otherDataCentres, instant now);
    // Stops counting a router of this data centre that has stated that it is shutting down.
    void remove(const std::string& neighbour);
    // Marks the census as incomplete for a time, since this router may have missed which others live.
    void unsettle(instant now);

    bool isSettled(instant now) const { return now >= m_settledAt; }
    // Changes whenever the routers do that are counted.
    std::uint64_t version() const { return m_version; }
    const std::string& instance() const { return m_instance; }
    const std::string& dataCentre() const { return m_dataCentre; }
    // The other routers of this data centre.
    std::vector<std::string> neighbours() const;
    // The number of routers in touch in this data centre, with this one.
    int routersInTouch() const { return m_neighboursInTouch + 1; }
    // The number of routers in each other data centre.
    std::map<std::string, int> otherDataCentres() const;
    // The number of routers, with this one.
    int count() const;
    // Whether this router knows none of the others that there should be. Their number is assumed then.
    bool isIsolated() const { return m_expectsOthers && m_neighbours.empty() && m_dataCentres.empty(); }

private:
    struct data_centre_count {
        int routers = 0;
        // When so many were last reported.
        instant reportedAt;
    };

    std::string m_instance;
    std::string m_dataCentre;
    bool m_expectsOthers = false;
    // By name, when each was last in touch.
    std::map<std::string, instant> m_neighbours;
    std::map<std::string, data_centre_count> m_dataCentres;
    int m_neighboursInTouch = 0;
    instant m_settledAt;
    std::uint64_t m_version = 0;
};

} // namespace kumquat::router
