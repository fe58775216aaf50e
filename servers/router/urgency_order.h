#pragma once

#include <optional>
#include <utility>
#include <vector>

namespace kumquat {
class routing_config;
struct route;
}

namespace kumquat::router {

// Orders the requests of one configuration for engines, which know ten urgencies. The rank of an organisation goes before
// that of the route; among organisations of one rank, the more urgent route comes first.
class urgency_order {
public:
    urgency_order() = default;
    explicit urgency_order(const routing_config&);

    // From 0, the most urgent, to 9.
    int urgencyOf(const route&, std::optional<int> organisationRank) const;

private:
    using rank_pair = std::pair<int, int>;

    static rank_pair pairOf(const route&, std::optional<int> organisationRank);

    // All that may occur, in order and each once.
    std::vector<rank_pair> m_ranks;
};

} // namespace kumquat::router
