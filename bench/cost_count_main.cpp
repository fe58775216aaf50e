#include "bench/harness/cost_workload.h"

#include <cstdio>
#include <string>
#include <valgrind/callgrind.h>

// Sends requests through one reducer and switches callgrind's collection on only while a request is handled, so that the
// instruction count excludes setup and periodic work. The usage text in main() lists the arguments.

using namespace kumquat_bench;

namespace {

template <typename Workload, typename Action>
void serve(Workload& workload, unsigned long requests, Action action)
{
    // Unmeasured requests that fill the allocator's free lists and the averages and caches of the reducer.
    constexpr unsigned long warmUpRequests = 200;
    for (unsigned long index = 0; index < warmUpRequests + requests; ++index) {
        workload.handlePeriodicEvents();
        if (index >= warmUpRequests)
            CALLGRIND_TOGGLE_COLLECT;
        action(workload);
        if (index >= warmUpRequests)
            CALLGRIND_TOGGLE_COLLECT;
    }
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int expectedArgumentCount = 5;
    if (argc != expectedArgumentCount) {
        std::fprintf(stderr, "usage: %s entry|report|sidecar UPSTREAMS ORGANISATIONS REQUESTS\n", argv[0]);
        return 2;
    }
    const std::string role = argv[1];
    const workload_size size { static_cast<std::uint32_t>(std::stoul(argv[2])), static_cast<std::uint32_t>(std::stoul(argv[3])) };
    const auto requests = std::stoul(argv[4]);
    if (role == "entry") {
        entry_workload workload(size);
        serve(workload, requests, [](auto& item) { item.serveRequest(); });
    } else if (role == "report") {
        entry_workload workload(size);
        serve(workload, requests, [](auto& item) { item.applyReport(); });
    } else if (role == "sidecar") {
        sidecar_workload workload(size);
        serve(workload, requests, [](auto& item) { item.serveRequest(); });
    } else {
        std::fprintf(stderr, "unknown role '%s', expected entry, report or sidecar\n", role.c_str());
        return 2;
    }
    return 0;
}
