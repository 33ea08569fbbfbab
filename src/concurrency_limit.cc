#include "jasminelead/concurrency_limit.h"

#include <algorithm>

namespace jasminelead {
namespace {

// Statements of one kind vary by a factor of several, so the baseline uses batch means.
constexpr std::uint32_t batch_statements = 8;
// The baseline follows faster batches quickly and slower ones barely, so that it remains the time
// at an endpoint without a queue.
constexpr double weight_of_faster = 0.3;
constexpr double weight_of_slower = 0.01;
constexpr double weight_of_statement = 1.0 / 12;
// Below the low threshold the endpoint has free slots; above the high one statements wait in its
// queue.
constexpr double low_slowdown = 1.6;
constexpr double high_slowdown = 2.2;
// Bounds the effect of a single very long statement, which says little about the queue.
constexpr double max_slowdown_sample = 8;
// A change of the limit affects only statements that start after it.
constexpr std::uint32_t min_statements_between_changes = 6;

}  // namespace

void concurrency_limit::set_max_allowed(std::uint32_t max) {
    const std::uint32_t bounded = std::max<std::uint32_t>(max, 1);
    if (bounded != m_max_allowed) {
        m_max_allowed = bounded;
        m_allowed = bounded;
    }
}

void concurrency_limit::update_baseline(latency_baseline& baseline, duration taken) {
    baseline.batch_sum += static_cast<double>(taken.us());
    if (++baseline.batch_size < batch_statements) {
        return;
    }
    const double mean = std::max(baseline.batch_sum / batch_statements, 1.0);
    const double weight = mean < baseline.us ? weight_of_faster : weight_of_slower;
    baseline.us = baseline.us == 0 ? mean : baseline.us + (mean - baseline.us) * weight;
    baseline.batch_sum = 0;
    baseline.batch_size = 0;
}

void concurrency_limit::on_finished(const service_id& kind, duration taken, bool others_wait) {
    latency_baseline& baseline = m_baselines[kind];
    update_baseline(baseline, taken);
    if (baseline.us == 0) {
        return;
    }
    const double ratio =
        std::min(static_cast<double>(taken.us()) / baseline.us, max_slowdown_sample);
    m_slowdown += (ratio - m_slowdown) * weight_of_statement;
    adjust_limit(others_wait);
}

void concurrency_limit::adjust_limit(bool others_wait) {
    if (++m_since_change < min_statements_between_changes) {
        return;
    }
    std::uint32_t wanted = m_allowed;
    if (m_slowdown > high_slowdown) {
        wanted = m_allowed - 1;
    } else if (m_slowdown < low_slowdown && others_wait) {
        wanted = m_allowed + 1;
    }
    wanted = std::clamp<std::uint32_t>(wanted, 1, m_max_allowed);
    if (wanted != m_allowed) {
        m_allowed = wanted;
        m_since_change = 0;
    }
}

}  // namespace jasminelead
