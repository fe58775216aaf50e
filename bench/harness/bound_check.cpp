#include "bench/harness/bound_check.h"

#include <algorithm>
#include <cstdio>

namespace kumquat_bench {

namespace {

    class checker {
    public:
        checker(const scenario_figures& figures, const bench_bounds& bounds)
            : m_figures(figures)
            , m_product(figures.runs.back())
            , m_bounds(bounds)
        {
        }

        std::vector<missed_bound> check()
        {
            checkTopTier(true);
            checkTopTier(false);
            checkDroughts();
            checkInvariants();
            checkGoodput();
            checkWaste();
            checkCrashes();
            return std::move(m_missed);
        }

    private:
        void miss(const std::string& bound, const std::string& detail)
        {
            m_missed.push_back({ m_figures.plan.name + "/" + bound, detail });
        }

        static std::string percent(double share)
        {
            char text[32];
            std::snprintf(text, sizeof text, "%.2f%%", 100 * share);
            return text;
        }

        // Engines and plain services have separate capacity, so the bound applies to the top tier of each.
        void checkTopTier(bool plain)
        {
            const auto& classes = m_product.classes;
            const auto top = std::find_if(classes.begin(), classes.end(), [&](const auto& item) { return item.isPlain == plain; });
            if (top == classes.end())
                return;
            for (const auto& item : classes) {
                if (item.isPlain != plain || item.tierRank != top->tierRank || !item.demandFits)
                    continue;
                if (item.attainment < m_bounds.topTierAttainment)
                    miss("top-tier-attainment", item.name + " attains " + percent(item.attainment));
                const bool hasLetterTargets = !plain && m_figures.plan.comparesLetter;
                if (hasLetterTargets && item.letterAttainment < m_bounds.letterAttainment)
                    miss("letter-attainment", item.name + " attains the letter's targets for " + percent(item.letterAttainment));
            }
        }

        void checkDroughts()
        {
            for (const auto& item : m_product.classes) {
                if (item.longestDrought > std::chrono::duration<double>(m_bounds.longestDrought).count())
                    miss("starvation", item.name + " had work waiting and no completion for " + std::to_string(item.longestDrought) + " s");
            }
        }

        void checkInvariants()
        {
            if (m_product.inversions > m_bounds.inversions)
                miss("inversions", std::to_string(m_product.inversions) + " inversions");
            for (const auto& item : m_product.violations) {
                if (item.broken == invariant::no_inversion)
                    continue;
                miss("invariants", std::string(toString(item.broken)) + ": " + item.detail);
                return;
            }
        }

        void checkGoodput()
        {
            for (const auto& run : m_figures.runs) {
                if (m_product.goodput < m_bounds.goodputOfBaselines * run.goodput)
                    miss("goodput", std::to_string(m_product.goodput) + " tokens/s, " + run.policy + " has " + std::to_string(run.goodput));
            }
        }

        void checkWaste()
        {
            if (!m_figures.plan.crashesEngines && m_product.wastedShare >= m_bounds.wastedShare)
                miss("waste", percent(m_product.wastedShare) + " of computed tokens were received by nobody");
        }

        void checkCrashes()
        {
            if (m_product.crashesByOneRequest > m_bounds.upstreamsLostToOneRequest)
                miss("crash-suspects", "one request crashed " + std::to_string(m_product.crashesByOneRequest) + " upstreams");
        }

        const scenario_figures& m_figures;
        const run_figures& m_product;
        const bench_bounds& m_bounds;
        std::vector<missed_bound> m_missed;
    };

} // namespace

std::vector<missed_bound> checkBounds(const scenario_figures& figures, const bench_bounds& bounds)
{
    return checker(figures, bounds).check();
}

} // namespace kumquat_bench
