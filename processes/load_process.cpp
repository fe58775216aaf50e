#include "processes/load_process.h"

#include "drivers/http/load_client.h"
#include "drivers/http/worker_pool.h"
#include "drivers/openssl/digest.h"
#include "drivers/prometheus/quantile_recorder.h"
#include "servers/load/arrival_schedule.h"

#include <iostream>
#include <mutex>
#include <thread>

namespace kumquat {

namespace {

    constexpr std::size_t maxConcurrentRequests = 4096;
    constexpr std::chrono::milliseconds lateThreshold { 10 };
    constexpr std::chrono::seconds progressInterval { 1 };

    using clock = std::chrono::steady_clock;

    load_percentiles percentilesOf(const quantile_recorder& recorder)
    {
        return { recorder.quantile(0.5), recorder.quantile(0.95), recorder.quantile(0.99) };
    }

    // Collects the outcomes from the threads that send the requests.
    class load_recorder {
    public:
        explicit load_recorder(const load_experiment& experiment)
            : m_experiment(experiment)
            , m_firstToken(experiment.streams.size())
            , m_total(experiment.streams.size())
        {
            m_report.seed = experiment.seed;
            for (const auto& stream : experiment.streams)
                m_report.streams.push_back({ .name = stream.name, .className = stream.className });
        }

        void recordSend(std::size_t stream, bool late)
        {
            const std::lock_guard lock(m_mutex);
            m_report.streams[stream].sent++;
            m_report.sentLate += late ? 1 : 0;
        }

        void recordOutcome(std::size_t index, const load_outcome& outcome)
        {
            const std::lock_guard lock(m_mutex);
            auto& stream = m_report.streams[index];
            m_ended++;
            counterOf(stream, outcome.result)++;
            stream.tokens += outcome.tokens;
            if (!outcome.errorCode.empty())
                stream.errors[outcome.errorCode]++;
            if (meetsTargets(outcome, m_experiment.streams[index].targets)) {
                stream.attained++;
                stream.usefulTokens += outcome.tokens;
            }
            if (outcome.firstToken)
                m_firstToken[index].record(*outcome.firstToken);
            if (outcome.result == load_result::complete)
                m_total[index].record(outcome.total);
        }

        void printProgress(std::size_t sent, std::size_t all)
        {
            const std::lock_guard lock(m_mutex);
            std::cerr << "sent " << sent << " of " << all << ", ended " << m_ended << "\n";
        }

        load_report finish(std::chrono::microseconds elapsed)
        {
            m_report.elapsed = elapsed;
            for (std::size_t index = 0; index < m_report.streams.size(); ++index) {
                m_report.streams[index].firstToken = percentilesOf(m_firstToken[index]);
                m_report.streams[index].total = percentilesOf(m_total[index]);
            }
            return m_report;
        }

    private:
        static std::uint64_t& counterOf(load_stream_report& stream, load_result result)
        {
            switch (result) {
            case load_result::complete:
                return stream.complete;
            case load_result::refused:
                return stream.refused;
            case load_result::unknown:
                return stream.unknown;
            case load_result::broken:
                return stream.broken;
            case load_result::unreachable:
                break;
            }
            return stream.unreachable;
        }

        const load_experiment& m_experiment;
        std::mutex m_mutex;
        load_report m_report;
        std::uint64_t m_ended = 0;
        std::vector<quantile_recorder> m_firstToken;
        std::vector<quantile_recorder> m_total;
    };

} // namespace

load_report runLoad(const load_experiment& experiment)
{
    const auto arrivals = scheduleArrivals(experiment);
    load_recorder recorder(experiment);
    worker_pool pool(maxConcurrentRequests);
    // Runs with the same schedule must not reuse the idempotency keys of an earlier run.
    const auto keyPrefix = "load-" + std::to_string(randomNonZero()) + "-";
    const auto start = clock::now();
    auto nextProgress = start + progressInterval;
    for (std::size_t number = 0; number < arrivals.size(); ++number) {
        const auto& arrival = arrivals[number];
        const auto due = start + arrival.at;
        std::this_thread::sleep_until(due);
        recorder.recordSend(arrival.stream, clock::now() > due + lateThreshold);
        pool.submit([&experiment, &recorder, keyPrefix, number, stream = arrival.stream] {
            const auto& settings = experiment.streams[stream];
            const auto& entry = experiment.entries[number % experiment.entries.size()];
            const auto key = settings.idempotencyKeys ? keyPrefix + std::to_string(number) : std::string();
            recorder.recordOutcome(stream, sendLoadRequest(entry, settings, number, key));
        });
        if (clock::now() >= nextProgress) {
            recorder.printProgress(number + 1, arrivals.size());
            nextProgress += progressInterval;
        }
    }
    pool.shutdown();
    recorder.printProgress(arrivals.size(), arrivals.size());
    return recorder.finish(std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - start));
}

} // namespace kumquat
