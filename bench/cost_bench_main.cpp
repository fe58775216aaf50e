#include "bench/harness/cost_workload.h"

#include <benchmark/benchmark.h>

// Measures the time that the entry reducer and the sidecar reducer need for one request, by the number of upstreams and
// organisations.

using namespace kumquat_bench;

namespace {

template <typename Workload>
void serveRequests(benchmark::State& state)
{
    Workload workload({ static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)) });
    for (auto _ : state) {
        state.PauseTiming();
        workload.handlePeriodicEvents();
        state.ResumeTiming();
        workload.serveRequest();
    }
}

} // namespace

BENCHMARK_TEMPLATE(serveRequests, entry_workload)->ArgNames({ "upstreams", "organisations" })->ArgsProduct({ { 10, 100, 800 }, { 10, 3100 } })->Iterations(5000);
BENCHMARK_TEMPLATE(serveRequests, sidecar_workload)->ArgNames({ "upstreams", "organisations" })->ArgsProduct({ { 10 }, { 10, 200, 3100 } })->Iterations(5000);

BENCHMARK_MAIN();
