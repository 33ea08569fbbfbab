#include <benchmark/benchmark.h>

#include <array>
#include <cstdint>

#include "jasminelead/admission.h"

namespace {

using namespace jasminelead;

/// Pushes, pops and completes one request at a constant queue length.
void queue_and_dispatch(benchmark::State& state) {
    const std::array services = {service_id{"entries"}, service_id{"fees"}, service_id{"awards"},
                                 service_id{"schedules"}};
    const admission::service_predicate below_share = [](const service_id&) { return true; };
    const auto queued = static_cast<std::uint64_t>(state.range(0));
    constexpr std::uint32_t slots = 3;
    const instant now;
    admission queue;
    std::uint64_t number = 0;
    const auto push = [&] {
        ++number;
        const auto late = static_cast<double>(number * 7 % 1000);
        const instant deadline = now + duration::from_ms(60'000 + late);
        const auto& service = services[number % services.size()];
        benchmark::DoNotOptimize(queue.push({number, service, 1, deadline, false}, slots, now));
    };
    for (std::uint64_t i = 0; i < queued; ++i) {
        push();
    }
    for (auto _ : state) {
        push();
        const auto next = queue.pop(true, below_share);
        queue.complete(services[next->number % services.size()], next->charged,
                       duration::from_us(500));
    }
    state.SetItemsProcessed(state.iterations());
}

}  // namespace

BENCHMARK(queue_and_dispatch)->Arg(0)->Arg(16)->Arg(128)->Arg(255);

BENCHMARK_MAIN();
