#include "servers/router/contact_book.h"

#include <algorithm>

namespace kumquat::router {

namespace {

    constexpr std::size_t maxContactsPerDataCentre = 16;
    constexpr auto contactTimeout = std::chrono::seconds(10);

} // namespace

void contact_book::add(const router_contact& contact, instant now)
{
    auto& entries = m_byDataCentre[contact.dataCentre];
    const auto known = std::find_if(entries.begin(), entries.end(), [&contact](const book_entry& item) { return item.address == contact.address; });
    if (known != entries.end()) {
        known->expiresAt = now + contactTimeout;
        return;
    }
    // The one that was named longest ago makes room.
    if (entries.size() == maxContactsPerDataCentre)
        entries.erase(std::min_element(entries.begin(), entries.end(), [](const book_entry& left, const book_entry& right) { return left.expiresAt < right.expiresAt; }));
    entries.push_back({ contact.address, now + contactTimeout });
}

void contact_book::expire(instant now)
{
    for (auto& [dataCentre, entries] : m_byDataCentre)
        std::erase_if(entries, [now](const book_entry& item) { return item.expiresAt <= now; });
    std::erase_if(m_byDataCentre, [](const auto& item) { return item.second.empty(); });
}

std::vector<router_contact> contact_book::rotateOutside(const std::string& dataCentre)
{
    ++m_rotation;
    std::vector<router_contact> contacts;
    for (const auto& [name, entries] : m_byDataCentre) {
        if (name != dataCentre)
            contacts.push_back({ entries[m_rotation % entries.size()].address, name });
    }
    return contacts;
}

std::vector<router_contact> contact_book::within(const std::string& dataCentre) const
{
    std::vector<router_contact> contacts;
    const auto found = m_byDataCentre.find(dataCentre);
    if (found == m_byDataCentre.end())
        return contacts;
    for (const auto& item : found->second)
        contacts.push_back({ item.address, dataCentre });
    return contacts;
}

} // namespace kumquat::router
