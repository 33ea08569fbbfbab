#include "jasminelead/concurrency_limit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <queue>
#include <random>
#include <vector>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const service_id kind{"view"};

/// Simulates hosts that overload one endpoint with few slots and a queue of its own.
class overloaded_endpoint {
public:
    overloaded_endpoint(int hosts, std::uint32_t slots) : m_slots{slots}, m_hosts(hosts) {
        for (host& one : m_hosts) {
            one.limit.set_max_allowed(slots);
        }
    }

    /// Statements arrive at random hosts, `per_second` for `seconds`.
    void run(double per_second, double seconds, duration mean_work) {
        const double end = m_now + seconds;
        double next = m_now;
        while (m_now < end) {
            if (m_running.empty() || next < m_running.top().end) {
                m_now = next;
                arrive(mean_work);
                next += std::exponential_distribution<>{per_second}(m_random);
            } else {
                finish();
            }
        }
    }
    [[nodiscard]] std::size_t max_queue_length() const { return m_max_queue_length; }
    [[nodiscard]] std::size_t done() const { return m_done; }
    void reset_counters() {
        m_max_queue_length = 0;
        m_done = 0;
    }

private:
    struct host {
        concurrency_limit limit;
        std::deque<double> waiting;  // Work of each statement in s.
        std::uint32_t running = 0;
    };
    struct statement {
        double end = 0;
        int from = 0;
        double sent = 0;
        bool operator<(const statement& other) const { return end > other.end; }
    };
    struct queued {
        int from = 0;
        double sent = 0;
        double work = 0;
    };

    void arrive(duration mean_work) {
        const int at =
            std::uniform_int_distribution<>{0, static_cast<int>(m_hosts.size()) - 1}(m_random);
        const double work =
            std::lognormal_distribution<>{std::log(mean_work.ms() / 1000) - 0.2, 0.63}(m_random);
        // The host refuses statements beyond a queue of 20.
        if (m_hosts[at].waiting.size() < 20) {
            m_hosts[at].waiting.push_back(work);
        }
        send(at);
    }
    void send(int at) {
        host& from = m_hosts[at];
        while (!from.waiting.empty() && from.running < from.limit.allowed()) {
            ++from.running;
            m_queue.push_back({at, m_now, from.waiting.front()});
            from.waiting.pop_front();
        }
        start();
        m_max_queue_length = std::max(m_max_queue_length, m_queue.size());
    }
    void start() {
        while (!m_queue.empty() && m_running.size() < m_slots) {
            const queued next = m_queue.front();
            m_queue.pop_front();
            m_running.push({m_now + next.work, next.from, next.sent});
        }
    }
    void finish() {
        const statement ended = m_running.top();
        m_running.pop();
        m_now = ended.end;
        ++m_done;
        host& from = m_hosts[ended.from];
        --from.running;
        const auto taken = duration::from_us(static_cast<std::int64_t>((m_now - ended.sent) * 1e6));
        from.limit.on_finished(kind, taken, !from.waiting.empty());
        start();
        send(ended.from);
    }

    std::mt19937 m_random{7};
    std::uint32_t m_slots;
    std::vector<host> m_hosts;
    std::deque<queued> m_queue;
    std::priority_queue<statement> m_running;
    double m_now = 0;
    std::size_t m_max_queue_length = 0;
    std::size_t m_done = 0;
};

}  // namespace

TEST_CASE("all slots of an endpoint without a queue are used") {
    concurrency_limit limit;
    limit.set_max_allowed(3);
    for (int i = 0; i < 200; ++i) {
        limit.on_finished(kind, 15_ms, true);
    }
    CHECK(limit.allowed() == 3);
}

TEST_CASE("the limit falls while statements are slow and then recovers") {
    concurrency_limit limit;
    limit.set_max_allowed(3);
    for (int i = 0; i < 50; ++i) {
        limit.on_finished(kind, 15_ms, true);
    }
    for (int i = 0; i < 50; ++i) {
        limit.on_finished(kind, 90_ms, true);
    }
    CHECK(limit.allowed() == 1);
    for (int i = 0; i < 100; ++i) {
        limit.on_finished(kind, 15_ms, true);
    }
    CHECK(limit.allowed() == 3);
}

TEST_CASE("kinds of statements with different durations are not taken for a slow endpoint") {
    concurrency_limit limit;
    limit.set_max_allowed(3);
    for (int i = 0; i < 300; ++i) {
        limit.on_finished(kind, 30_ms, true);
        limit.on_finished(service_id{"pay"}, 5_ms, true);
    }
    CHECK(limit.allowed() == 3);
}

// Guards against high-priority statements that wait behind all others in the endpoint's queue:
// without the limit, nine hosts with three statements each would keep 24 in it.
TEST_CASE("under overload few statements queue at the endpoint, and its slots stay in use") {
    overloaded_endpoint endpoint{9, 3};
    endpoint.run(90, 10, 17_ms);
    endpoint.run(250, 6, 17_ms);
    endpoint.reset_counters();
    endpoint.run(250, 10, 17_ms);
    CHECK(endpoint.max_queue_length() <= 12);
    // Three slots at 17 ms serve 176 statements a second.
    CHECK(endpoint.done() > 1600);
}

TEST_CASE("a single host under load uses all slots") {
    overloaded_endpoint endpoint{1, 3};
    endpoint.run(60, 10, 17_ms);
    endpoint.run(300, 5, 17_ms);
    endpoint.reset_counters();
    endpoint.run(300, 10, 17_ms);
    CHECK(endpoint.done() > 1600);
}
