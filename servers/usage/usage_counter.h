#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace kumquat::usage {

// The runs of each organisation.
using organisation_runs = std::map<std::string, std::uint64_t>;

// What this router has counted, by window and organisation.
class usage_counter {
public:
    void record(std::uint64_t window, const std::string& organisation) { ++m_windows[window][organisation]; }
    void set(std::uint64_t window, const std::string& organisation, std::uint64_t runs) { m_windows[window][organisation] = runs; }
    void dropBefore(std::uint64_t window) { m_windows.erase(m_windows.begin(), m_windows.lower_bound(window)); }
    const std::map<std::uint64_t, organisation_runs>& windows() const { return m_windows; }

private:
    std::map<std::uint64_t, organisation_runs> m_windows;
};

} // namespace kumquat::usage
