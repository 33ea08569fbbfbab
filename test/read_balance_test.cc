#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "jasminelead/read_selector.h"

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

/// Hosts that send reads to the same endpoints. Each host knows only its own statements.
struct load_pattern {
    std::size_t hosts = 6;
    std::size_t endpoints = 3;
    std::uint32_t slots = 4;
    double utilisation = 0.8;  ///< Of all slots.
    double mean_ms = 15;
    double delay_ms = 1;  ///< From an endpoint's answer to the host's knowledge of it.
};

struct unevenness {
    double peak_to_mean = 0;         ///< Longest queue to mean queue, averaged over time.
    double idle_while_queueing = 0;  ///< Share of the time.
    double mean_wait_ms = 0;

    unevenness& operator+=(const unevenness& other) {
        peak_to_mean += other.peak_to_mean;
        idle_while_queueing += other.idle_while_queueing;
        mean_wait_ms += other.mean_wait_ms;
        return *this;
    }
};

enum class policy { lowest_cost, balanced };

/// Plays a load in steps of 1 ms. Endpoints serve in order of arrival.
class replay {
public:
    replay(const load_pattern& load, policy used, unsigned seed)
        : m_load{load}, m_policy{used}, m_random{seed}, m_queues(load.endpoints) {
        for (std::size_t host = 0; host < load.hosts; ++host) {
            m_views.emplace_back(load.endpoints);
            for (std::size_t i = 0; i < load.endpoints; ++i) {
                m_views.back()[i].id = endpoint_id{"e" + std::to_string(i)};
                m_views.back()[i].slots = load.slots;
            }
        }
    }

    unevenness run(int length_ms) {
        const double reads_per_ms = m_load.utilisation * m_load.slots *
                                    static_cast<double>(m_load.endpoints) / m_load.mean_ms;
        for (m_now = 0; m_now < length_ms; ++m_now) {
            const int arrivals = std::poisson_distribution<>{reads_per_ms}(m_random);
            for (int i = 0; i < arrivals; ++i) {
                send(m_random() % m_load.hosts);
            }
            serve();
            learn();
            measure();
        }
        return {m_peak_to_mean / std::max(m_measured, 1), m_idle / static_cast<double>(length_ms),
                m_wait_ms / std::max(m_started, 1)};
    }

private:
    struct read {
        std::size_t host = 0;
        std::size_t endpoint = 0;
        int sent = 0;
        int end = 0;
    };
    struct endpoint_queue {
        std::deque<read> waiting;
        std::vector<read> running;
        [[nodiscard]] std::size_t size() const { return waiting.size() + running.size(); }
    };

    void send(std::size_t host) {
        auto& view = m_views[host];
        const read_constraint need{log_point{1, 1}, 1_s};
        const auto chosen = m_policy == policy::balanced
                                ? choose_balanced_read_endpoint(view, need, m_draws)
                                : choose_read_endpoint(view, need);
        ++view[*chosen].running;
        m_queues[*chosen].waiting.push_back({host, *chosen, m_now, 0});
    }
    void serve() {
        for (endpoint_queue& queue : m_queues) {
            for (const read& item : queue.running) {
                if (item.end <= m_now) {
                    m_answers.push_back(item);
                }
            }
            std::erase_if(queue.running, [this](const read& item) { return item.end <= m_now; });
            while (queue.running.size() < m_load.slots && !queue.waiting.empty()) {
                read next = queue.waiting.front();
                queue.waiting.pop_front();
                m_wait_ms += m_now - next.sent;
                ++m_started;
                const double work = std::exponential_distribution<>{1 / m_load.mean_ms}(m_random);
                next.end = m_now + std::max(1, static_cast<int>(work));
                queue.running.push_back(next);
            }
        }
    }
    /// Applies the answers that have reached their hosts.
    void learn() {
        for (auto& view : m_views) {
            for (read_candidate& item : view) {
                item.answer_age = item.answer_age + 1_ms;
            }
        }
        std::erase_if(m_answers, [this](const read& item) {
            if (item.end + m_load.delay_ms > m_now) {
                return false;
            }
            read_candidate& known = m_views[item.host][item.endpoint];
            const duration taken = 1_ms * static_cast<double>(m_now - item.sent);
            constexpr std::int64_t mean_weight = 16;
            known.mean_time = known.mean_time == duration{}
                                  ? taken
                                  : known.mean_time + (taken - known.mean_time) / mean_weight;
            --known.running;
            known.answer_age = duration{};
            return true;
        });
    }
    void measure() {
        std::size_t total = 0;
        std::size_t longest = 0;
        bool has_idle = false;
        bool has_queue = false;
        for (const endpoint_queue& queue : m_queues) {
            total += queue.size();
            longest = std::max(longest, queue.size());
            has_idle = has_idle || queue.running.size() < m_load.slots;
            has_queue = has_queue || !queue.waiting.empty();
        }
        m_idle += has_idle && has_queue ? 1 : 0;
        if (total > 0) {
            m_peak_to_mean +=
                static_cast<double>(longest * m_queues.size()) / static_cast<double>(total);
            ++m_measured;
        }
    }

    load_pattern m_load;
    policy m_policy;
    std::mt19937 m_random;
    random_source m_draws{1};
    std::vector<endpoint_queue> m_queues;
    std::vector<std::vector<read_candidate>> m_views;  ///< By host.
    std::vector<read> m_answers;
    int m_now = 0;
    int m_measured = 0;
    int m_started = 0;
    double m_peak_to_mean = 0;
    double m_idle = 0;
    double m_wait_ms = 0;
};

load_pattern draw_load(std::mt19937& random) {
    const auto between = [&random](double low, double high) {
        return std::uniform_real_distribution<>{low, high}(random);
    };
    load_pattern load;
    load.hosts = 2 + random() % 23;
    load.slots = 3 + random() % 4;
    load.utilisation = between(0.5, 0.95);
    load.mean_ms = between(5, 35);
    load.delay_ms = between(0, 10);
    return load;
}

}  // namespace

// Guards against endpoints that are overrun in turns while others idle: hosts that compare all
// endpoints by the same old answers send to the same one. Hosts, slots, load and delays are drawn.
TEST_CASE("random choices load the endpoints more evenly than the lowest cost") {
    constexpr unsigned loads = 40;
    constexpr int length_ms = 10'000;
    std::mt19937 random{11};
    unevenness before;
    unevenness after;
    for (unsigned i = 0; i < loads; ++i) {
        const load_pattern load = draw_load(random);
        before += replay{load, policy::lowest_cost, i}.run(length_ms);
        after += replay{load, policy::balanced, i}.run(length_ms);
    }
    CAPTURE(before.peak_to_mean / loads, after.peak_to_mean / loads);
    CAPTURE(before.idle_while_queueing / loads, after.idle_while_queueing / loads);
    CAPTURE(before.mean_wait_ms / loads, after.mean_wait_ms / loads);
    CHECK(after.peak_to_mean < before.peak_to_mean);
    CHECK(after.idle_while_queueing < before.idle_while_queueing);
    CHECK(after.mean_wait_ms < before.mean_wait_ms);
}

TEST_CASE("endpoints that cannot answer are never drawn, and local replicas are preferred") {
    random_source random{1};
    std::vector<read_candidate> candidates(4);
    candidates[0].is_primary = true;
    candidates[1].is_local = true;
    candidates[2].is_reachable = false;
    candidates[3].is_excluded = true;
    const read_constraint need{log_point{1, 1}, 1_s};
    for (int i = 0; i < 100; ++i) {
        CHECK(choose_balanced_read_endpoint(candidates, need, random) == 1);
        CHECK(choose_balanced_read_endpoint(candidates, {std::nullopt, 1_s}, random) == 0);
    }
    candidates[1].running = 5;
    std::size_t primary_chosen = 0;
    for (int i = 0; i < 100; ++i) {
        const auto chosen = choose_balanced_read_endpoint(candidates, need, random);
        REQUIRE(chosen);
        REQUIRE(*chosen < 2);
        primary_chosen += *chosen == 0 ? 1 : 0;
    }
    CHECK(primary_chosen == 100);
    CHECK_FALSE(choose_balanced_read_endpoint({}, need, random));
}
