#include "bench/harness/bound_check.h"

#include <algorithm>
#include <cstdio>

namespace kumquat_bench {

namespace {

    class bound_checker {
    public:
        bound_checker(const scenario_results& results, const bench_bounds& bounds)
            : m_results(results)
            , m_product(results.runs.back())
            , m_bounds(bounds)
        {
        }

        std::vector<missed_bound> check()
        {
            checkTopTier(true);
            checkTopTier(false);
            checkStarvation();
            checkInvariants();
            checkGoodput();
            checkWaste();
            checkCrashes();
            return std::move(m_missed);
        }

    private:
        void recordMiss(const std::string& bound, const std::string& detail)
        {
            m_missed.push_back({ m_results.plan.name + "/" + bound, detail });
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
            const auto topTierClass = std::find_if(classes.begin(), classes.end(), [&](const auto& item) { return item.isPlain == plain; });
            if (topTierClass == classes.end())
                return;
            for (const auto& item : classes) {
                if (item.isPlain != plain || item.tierRank != topTierClass->tierRank || !item.demandFits)
                    continue;
                if (item.attainment < m_bounds.minTopTierAttainment)
                    recordMiss("top-tier-attainment", item.name + " attains " + percent(item.attainment));
                const bool hasLetterTargets = !plain && m_results.plan.checksLetterTargets;
                if (hasLetterTargets && item.letterAttainment < m_bounds.minLetterAttainment)
                    recordMiss("letter-attainment", item.name + " attains the letter's targets for " + percent(item.letterAttainment));
            }
        }

        void checkStarvation()
        {
            for (const auto& item : m_product.classes) {
                if (item.longestStarvation > std::chrono::duration<double>(m_bounds.maxStarvation).count())
                    recordMiss("starvation", item.name + " had work waiting and no completion for " + std::to_string(item.longestStarvation) + " s");
            }
        }

        void checkInvariants()
        {
            if (m_product.inversions > m_bounds.maxInversions)
                recordMiss("inversions", std::to_string(m_product.inversions) + " inversions");
            for (const auto& item : m_product.violations) {
                if (item.violated == invariant::no_tier_inversion)
                    continue;
                recordMiss("invariants", std::string(toString(item.violated)) + ": " + item.detail);
                return;
            }
        }

        void checkGoodput()
        {
            for (const auto& run : m_results.runs) {
                if (m_product.goodput < m_bounds.minGoodputRatio * run.goodput)
                    recordMiss("goodput", std::to_string(m_product.goodput) + " tokens/s, " + run.policy + " has " + std::to_string(run.goodput));
            }
        }

        void checkWaste()
        {
            if (!m_results.plan.hasEngineCrashes && m_product.wastedShare >= m_bounds.maxWastedShare)
                recordMiss("waste", percent(m_product.wastedShare) + " of computed tokens were received by nobody");
        }

        void checkCrashes()
        {
            if (m_product.maxCrashesByOneRequest > m_bounds.maxUpstreamsLostToOneRequest)
                recordMiss("crash-suspects", "one request crashed " + std::to_string(m_product.maxCrashesByOneRequest) + " upstreams");
        }

        const scenario_results& m_results;
        const run_results& m_product;
        const bench_bounds& m_bounds;
        std::vector<missed_bound> m_missed;
    };

} // namespace

std::vector<missed_bound> checkBounds(const scenario_results& results, const bench_bounds& bounds)
{
    return bound_checker(results, bounds).check();
}

} // namespace kumquat_bench
