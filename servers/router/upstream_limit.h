#pragma once

#include "core/clock.h"

#include <optional>

namespace kumquat::router {

// What an upstream has stated in an answer about a limit for all routers together.
struct limit_statement {
    // The requests a second that it accepts, or nothing if it names no limit any more.
    std::optional<double> requestsPerSecond;
    instant statedAt;
};

// Which router had the answer with a statement.
enum class statement_source {
    this_router,
    own_data_centre,
    other_data_centre
};

// The limit of one upstream: the newest statement of which this router knows, and what it tells the others.
//
// Reports of other routers are never reported on to where they may have come from, so that an old statement can't circulate. When
// the upstream names no limit any more, the rate rises step by step instead of at once.
class upstream_limit {
public:
    explicit upstream_limit(const limit_statement& first, statement_source, instant now);

    // Records a statement. Returns true if it is newer and says something else than the one before it.
    bool record(const limit_statement&, statement_source, instant now);
    // The requests a second that all routers together may send.
    double requestsPerSecond(instant now) const;
    // The limit that the upstream names, or nothing if it named one before.
    const std::optional<double>& stated() const { return m_newest.requestsPerSecond; }
    // True once requests are no longer limited.
    bool isOver(instant now) const;

    // What this router tells the others of its data centre: what itself was told, unless others tell newer statements.
    std::optional<limit_statement> reportOfRouter(instant now) const;
    // What this router tells other data centres: what was told to a router of this one, unless others tell newer statements.
    std::optional<limit_statement> reportOfDataCentre(instant now) const;

private:
    std::optional<limit_statement> selectReport(const std::optional<limit_statement>&, instant now) const;

    limit_statement m_newest;
    // When a statement was last received that is as new as the newest one.
    instant m_newestHeardAt;
    std::optional<limit_statement> m_toldRouter;
    std::optional<limit_statement> m_toldDataCentre;
    // The last rate that the upstream named, and since when it names none.
    double m_lastRate = 0;
    instant m_endedAt;
};

} // namespace kumquat::router
