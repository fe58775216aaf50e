#pragma once

#include <optional>
#include <utility>
#include <vector>

namespace kumquat {
class routing_config;
struct route;
}

namespace kumquat::router {

// Maps the ranks of one configuration to the ten urgency levels of engines. Requests are ordered by the rank of the
// organisation first and by the rank of the route second. An organisation without a rank has that of the route.
class urgency_order {
public:
    urgency_order() = default;
    explicit urgency_order(const routing_config&);

    // From 0, the most urgent, to 9.
    int urgencyOf(const route&, std::optional<int> organisationRank) const;

private:
    using rank_pair = std::pair<int, int>;

    static rank_pair makeRankPair(const route&, std::optional<int> organisationRank);

    // All pairs of organisation rank and route rank that may occur, in ascending order and without duplicates.
    std::vector<rank_pair> m_ranks;
};

} // namespace kumquat::router
