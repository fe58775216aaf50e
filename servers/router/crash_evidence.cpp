#include "servers/router/crash_evidence.h"

#include <optional>
#include <unordered_set>

namespace kumquat::router {

namespace {

    // Upstreams that fail within this time of each other may have failed for one reason outside the requests.
    constexpr auto independenceTime = std::chrono::milliseconds(250);

    // Counts crashes one after the other.
    class crash_counter {
    public:
        explicit crash_counter(suspect_kind kind)
            : m_kind(kind)
        {
        }

        void countAll(observed_crashes::const_iterator begin, observed_crashes::const_iterator end)
        {
            for (auto crash = begin; crash != end; ++crash)
                count(*crash);
        }

        void countApart(observed_crashes::const_iterator begin, observed_crashes::const_iterator end)
        {
            std::optional<instant> last;
            for (auto crash = begin; crash != end; ++crash) {
                if (last && crash->at - *last < independenceTime)
                    continue;
                if (count(*crash))
                    last = crash->at;
            }
        }

        int total() const { return m_total; }

    private:
        bool count(const observed_crash& crash)
        {
            if (m_kind == suspect_kind::prompt_part && !m_requests.insert(crash.request).second)
                return false;
            ++m_total;
            return true;
        }

        suspect_kind m_kind;
        std::unordered_set<std::uint32_t> m_requests;
        int m_total = 0;
    };

    // The end of the crashes that follow one another closely from the first one on.
    observed_crashes::const_iterator endOfMoment(observed_crashes::const_iterator first, observed_crashes::const_iterator end)
    {
        const auto isApart = [](const observed_crash& crash, const observed_crash& next) { return next.at - crash.at >= independenceTime; };
        const auto last = std::adjacent_find(first, end, isApart);
        return last == end ? end : std::next(last);
    }

    bool isHalfOf(observed_crashes::const_iterator first, observed_crashes::const_iterator end, const std::vector<known_crash>& known)
    {
        const auto from = first->at - independenceTime;
        const auto to = std::prev(end)->at + independenceTime;
        const auto all = std::count_if(known.begin(), known.end(), [from, to](const known_crash& crash) { return !crash.explained && crash.at > from && crash.at < to; });
        return 2 * (end - first) >= all;
    }

} // namespace

int countIndependent(suspect_kind kind, const observed_crashes& crashes)
{
    crash_counter counter(kind);
    counter.countApart(crashes.begin(), crashes.end());
    return counter.total();
}

int countCoinciding(suspect_kind kind, const observed_crashes& crashes, const std::vector<known_crash>& known)
{
    crash_counter counter(kind);
    for (auto first = crashes.begin(); first != crashes.end();) {
        const auto end = endOfMoment(first, crashes.end());
        if (isHalfOf(first, end, known))
            counter.countAll(first, end);
        else
            counter.countApart(first, end);
        first = end;
    }
    return counter.total();
}

bool contains(const observed_crashes& crashes, const observed_crash& crash)
{
    return std::any_of(crashes.begin(), crashes.end(), [&crash](const observed_crash& item) { return isSameCrash(item, crash.upstream, crash.at); });
}

bool containsAll(const observed_crashes& all, const observed_crashes& some)
{
    return std::all_of(some.begin(), some.end(), [&all](const observed_crash& crash) { return contains(all, crash); });
}

observed_crashes sharedCrashes(const observed_crashes& first, const observed_crashes& second)
{
    observed_crashes shared;
    std::copy_if(first.begin(), first.end(), std::back_inserter(shared), [&second](const observed_crash& crash) { return contains(second, crash); });
    return shared;
}

observed_crashes unsharedCrashes(const observed_crashes& first, const observed_crashes& second)
{
    observed_crashes others;
    std::copy_if(first.begin(), first.end(), std::back_inserter(others), [&second](const observed_crash& crash) { return !contains(second, crash); });
    return others;
}

} // namespace kumquat::router
