#pragma once

#include "core/clock.h"
#include "core/router_digest.h"

#include <map>
#include <string>
#include <vector>

namespace kumquat::router {

// Addresses of routers in each data centre, as digests name them. A bounded number is kept for each data centre, and one that
// is no longer named expires.
class contact_book {
public:
    void add(const router_contact&, instant now);
    void expire(instant now);

    // One contact of each data centre but the given one, another one at each call.
    std::vector<router_contact> rotateOutside(const std::string& dataCentre);
    // The contacts in one data centre.
    std::vector<router_contact> within(const std::string& dataCentre) const;

private:
    struct book_entry {
        std::string address;
        instant expiresAt;
    };

    std::map<std::string, std::vector<book_entry>> m_byDataCentre;
    std::size_t m_rotation = 0;
};

} // namespace kumquat::router
