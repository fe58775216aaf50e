#pragma once

#include "core/clock.h"
#include "core/stream_message.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace kumquat::router {

// The origins of streams that this router keeps, for itself and for others. Each expires when callers can't resume its stream any
// more. When there are too many, those go first that expire first.
class stream_origins {
public:
    // The default bounds the memory to about 2 MB.
    explicit stream_origins(std::size_t maxCount = 16384)
        : m_maxCount(maxCount)
    {
    }

    // Keeps an origin, in place of an earlier one of the same stream. Returns false if another one had to go for it.
    bool keep(const stream_origin&, instant now);
    // The version at which a stream began, or nothing if it isn't known.
    std::optional<std::uint64_t> find(std::uint64_t stream, instant now) const;
    std::size_t size() const { return m_byStream.size(); }

private:
    struct kept_origin {
        std::uint64_t version = 0;
        instant expiresAt;
    };

    void remove(std::uint64_t stream);
    void removeExpired(instant now);

    std::size_t m_maxCount;
    std::unordered_map<std::uint64_t, kept_origin> m_byStream;
    std::set<std::pair<instant, std::uint64_t>> m_byExpiry;
};

} // namespace kumquat::router
