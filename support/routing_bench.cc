#include <benchmark/benchmark.h>

#include <cstdlib>
#include <new>

#include "jasminelead/router.h"
#include "jasminelead/token.h"

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

std::size_t allocations = 0;

}  // namespace

// Counts allocations, because both operations should make none in the steady state. noinline avoids
// GCC's -Wmismatched-new-delete.
[[gnu::noinline]] void* operator new(std::size_t size) {
    ++allocations;
    if (void* memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc{};
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
    std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, std::size_t /*size*/) noexcept {
    std::free(memory);
}

namespace {

constexpr int endpoints_in_group = 3;
constexpr std::uint64_t seed = 1;

data_centre_id data_centre(int index) {
    return data_centre_id{"dc" + std::to_string(index)};
}

/// A fleet of daemons and groups in which the state of every endpoint is known.
struct bench_fleet {
    core_context context;
    freshness marks;
    std::vector<group_id> groups;
    std::vector<group_view> views;
    term_history terms;
    router routes{context, marks};

    bench_fleet(int host_count, int group_count, int data_centres) {
        std::vector<host_entry> hosts;
        std::vector<endpoint_entry> endpoints;
        for (int i = 0; i < host_count; ++i) {
            hosts.push_back({host_id{"host-" + std::to_string(i)}, data_centre(i % data_centres),
                             "", member_state::live});
        }
        table config;
        for (int i = 0; i < group_count; ++i) {
            const group_id group{"shows-" + std::to_string(i)};
            config.groups[group] = {};
            for (int j = 0; j < endpoints_in_group; ++j) {
                const endpoint_id id{group.str() + "-" + static_cast<char>('a' + j)};
                endpoints.push_back(
                    {id, group, data_centre((i + j) % data_centres), "", member_state::live});
                config.endpoints[id] = {group, 100, 20, 3};
            }
            groups.push_back(group);
            views.push_back({1, endpoint_id{group.str() + "-a"}});
        }
        context.data_centre = data_centre(0);
        context.fleet = std::make_shared<directory>(hosts, endpoints);
        context.config = std::make_shared<table>(config);
        terms.push({1, 0});
        learn();
    }
    void learn() {
        for (const group_id& group : groups) {
            for (int i = 0; i < 100; ++i) {
                marks.record(group, {1, 1, static_cast<log_position>(i), endpoint_role::primary},
                             instant::from_ms(i * 10));
            }
            for (const endpoint_entry& each : context.fleet->endpoints_of(group)) {
                routes.on_stamp(each.id, {1, 1, 98, endpoint_role::replica},
                                instant::from_ms(1'000), instant::from_ms(1'000));
            }
        }
    }
};

void report_allocations(benchmark::State& state, std::size_t before) {
    state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before),
                                                       benchmark::Counter::kAvgIterations);
}

void routing_decision(benchmark::State& state) {
    bench_fleet fleet{static_cast<int>(state.range(0)), static_cast<int>(state.range(1)),
                      static_cast<int>(state.range(2))};
    std::mt19937_64 random{seed};
    std::vector<session_entry> sessions;
    for (const group_id& group : fleet.groups) {
        sessions.push_back({group, 1, 97});
    }
    const auto decide = [&](std::size_t i) {
        const read_requirements read{.group = fleet.groups[i],
                                     .view = fleet.views[i],
                                     .terms = fleet.terms,
                                     .session = &sessions[i],
                                     .max_age = 2_s,
                                     .remaining = 5_s};
        return fleet.routes.choose(read, instant::from_ms(1'010), random);
    };
    for (std::size_t i = 0; i < sessions.size(); ++i) {
        benchmark::DoNotOptimize(decide(i));
    }
    const std::size_t before = allocations;
    for (auto _ : state) {
        benchmark::DoNotOptimize(decide(random() % sessions.size()));
    }
    report_allocations(state, before);
}

/// Decodes tokens with the given number of entries for random groups.
void token_decode(benchmark::State& state) {
    const auto group_count = static_cast<std::uint64_t>(state.range(0));
    token_key key;
    key.secret.fill(1);
    const token_codec codec{{key}};
    std::mt19937_64 random{seed};
    std::vector<std::string> texts;
    for (std::uint64_t i = 0; i < group_count; ++i) {
        session_token token{random()};
        for (std::int64_t j = 0; j < state.range(1); ++j) {
            const group_id group{"shows-" + std::to_string(random() % group_count)};
            benchmark::DoNotOptimize(token.set({group, 1, random()}));
        }
        texts.push_back(codec.encode(token));
    }
    const std::size_t before = allocations;
    for (auto _ : state) {
        benchmark::DoNotOptimize(codec.decode(texts[random() % texts.size()]));
    }
    report_allocations(state, before);
}

}  // namespace

BENCHMARK(routing_decision)
    ->ArgNames({"hosts", "groups", "data_centres"})
    ->Args({6, 3, 3})
    ->Args({480, 1100, 6});
BENCHMARK(token_decode)
    ->ArgNames({"groups", "entries"})
    ->Args({3, 1})
    ->Args({1100, 1})
    ->Args({3, 3})
    ->Args({1100, 8});

BENCHMARK_MAIN();
