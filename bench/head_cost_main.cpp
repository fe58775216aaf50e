#include "bench/harness/head_forms.h"

#include <chrono>
#include <cstdio>
#include <valgrind/callgrind.h>

// Reads each of the most expensive heads and bodies in two sizes. Under callgrind it dumps one file of counts for each, named "FORM BYTES"; without it the
// times are printed. misc/head_cost.sh checks the counts.

namespace {

// The default of MaxHeaderBytes, and a quarter of it.
constexpr std::size_t sizes[] = { 4096, 16384 };

} // namespace

int main()
{
    using clock = std::chrono::steady_clock;
    for (const auto& form : kumquat_bench::headForms()) {
        for (const auto bytes : sizes) {
            const auto input = form.make(bytes);
            // Fills the allocator's free lists.
            form.read(input);
            const auto start = clock::now();
            CALLGRIND_TOGGLE_COLLECT;
            form.read(input);
            CALLGRIND_TOGGLE_COLLECT;
            const auto elapsed = std::chrono::duration<double, std::micro>(clock::now() - start).count();
            const auto label = form.name + " " + std::to_string(bytes);
            CALLGRIND_DUMP_STATS_AT(label.c_str());
            if (RUNNING_ON_VALGRIND == 0)
                std::printf("%-20s %6zu bytes %10.0f us\n", form.name.c_str(), bytes, elapsed);
        }
    }
    return 0;
}
