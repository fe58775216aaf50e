#include "servers/load/arrival_schedule.h"

#include "core/overloaded.h"

#include <algorithm>
#include <random>

namespace kumquat {

namespace {

    using seconds_f = std::chrono::duration<double>;
    using generator = std::mt19937_64;

    std::chrono::microseconds toMicroseconds(double seconds)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(seconds_f(seconds));
    }

    // Returns the rate, in requests per second, after the given share (0 to 1) of the experiment has passed.
    double festivalRate(const festival_arrivals& pattern, double share)
    {
        const double distanceFromPeak = std::abs(2 * share - 1);
        return pattern.basePerSecond + (pattern.peakPerSecond - pattern.basePerSecond) * (1 - distanceFromPeak);
    }

    // Draws the arrivals of one stream according to its pattern.
    class stream_scheduler {
    public:
        stream_scheduler(std::size_t stream, double duration, std::uint64_t seed, std::vector<scheduled_arrival>& arrivals)
            : m_stream(stream)
            , m_duration(duration)
            , m_random(seed)
            , m_arrivals(arrivals)
        {
        }

        void operator()(const constant_arrivals& pattern)
        {
            const auto count = static_cast<std::size_t>(m_duration * pattern.perSecond);
            for (std::size_t index = 0; index < count; ++index)
                add(static_cast<double>(index) / pattern.perSecond);
        }

        void operator()(const poisson_arrivals& pattern)
        {
            std::exponential_distribution<double> gap(pattern.perSecond);
            for (double arrivalTime = gap(m_random); arrivalTime < m_duration; arrivalTime += gap(m_random))
                add(arrivalTime);
        }

        void operator()(const burst_arrivals& pattern)
        {
            for (std::uint32_t index = 0; index < pattern.count; ++index)
                add(seconds_f(pattern.at).count());
        }

        // Thins a Poisson process of the maximum rate. The result is exactly a Poisson process of the varying rate.
        void operator()(const festival_arrivals& pattern)
        {
            const double maxRate = std::max(pattern.basePerSecond, pattern.peakPerSecond);
            std::exponential_distribution<double> gap(maxRate);
            std::uniform_real_distribution<double> share(0, 1);
            for (double arrivalTime = gap(m_random); arrivalTime < m_duration; arrivalTime += gap(m_random)) {
                if (share(m_random) * maxRate < festivalRate(pattern, arrivalTime / m_duration))
                    add(arrivalTime);
            }
        }

    private:
        // Adds an arrival at a time in seconds since the start.
        void add(double arrivalTime) { m_arrivals.push_back({ toMicroseconds(arrivalTime), m_stream }); }

        std::size_t m_stream;
        double m_duration;
        generator m_random;
        std::vector<scheduled_arrival>& m_arrivals;
    };

} // namespace

std::vector<scheduled_arrival> scheduleArrivals(const load_experiment& experiment)
{
    std::vector<scheduled_arrival> arrivals;
    const double duration = seconds_f(experiment.duration).count();
    for (std::size_t index = 0; index < experiment.streams.size(); ++index) {
        stream_scheduler schedule(index, duration, experiment.seed + index, arrivals);
        std::visit(schedule, experiment.streams[index].arrivals);
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
    return arrivals;
}

} // namespace kumquat
