#include "jasminelead/concurrency_limit.h"

#include <algorithm>

namespace jasminelead {
namespace {

// Single statements of one kind differ by a factor of several.
constexpr std::uint32_t batch_statements = 8;
// The usual time follows fast batches soon and slow ones hardly, so that it stays that of an
// endpoint without a queue.
constexpr double weight_of_faster = 0.3;
constexpr double weight_of_slower = 0.01;
constexpr double weight_of_statement = 1.0 / 12;
// Below the first, the endpoint has slots free; above the second, statements wait in its queue.
constexpr double low_slowdown = 1.6;
constexpr double high_slowdown = 2.2;
// One statement that takes very long tells little of the queue.
constexpr double most_slowdown = 8;
// The effect of a change shows only in statements that begin after it.
constexpr std::uint32_t settle_statements = 6;

}  // namespace

void concurrency_limit::set_most(std::uint32_t most) {
    const std::uint32_t bounded = std::max<std::uint32_t>(most, 1);
    if (bounded != m_most) {
        m_most = bounded;
        m_allowed = bounded;
    }
}

void concurrency_limit::learn(usual_time& usual, duration taken) {
    usual.batch_sum += static_cast<double>(taken.us());
    if (++usual.batch_size < batch_statements) {
        return;
    }
    const double mean = std::max(usual.batch_sum / batch_statements, 1.0);
    const double weight = mean < usual.us ? weight_of_faster : weight_of_slower;
    usual.us = usual.us == 0 ? mean : usual.us + (mean - usual.us) * weight;
    usual.batch_sum = 0;
    usual.batch_size = 0;
}

void concurrency_limit::on_finished(const service_id& kind, duration taken, bool others_wait) {
    usual_time& usual = m_usual[kind];
    learn(usual, taken);
    if (usual.us == 0) {
        return;
    }
    const double ratio = std::min(static_cast<double>(taken.us()) / usual.us, most_slowdown);
    m_slowdown += (ratio - m_slowdown) * weight_of_statement;
    adapt(others_wait);
}

void concurrency_limit::adapt(bool others_wait) {
    if (++m_since_change < settle_statements) {
        return;
    }
    std::uint32_t wanted = m_allowed;
    if (m_slowdown > high_slowdown) {
        wanted = m_allowed - 1;
    } else if (m_slowdown < low_slowdown && others_wait) {
        wanted = m_allowed + 1;
    }
    wanted = std::clamp<std::uint32_t>(wanted, 1, m_most);
    if (wanted != m_allowed) {
        m_allowed = wanted;
        m_since_change = 0;
    }
}

}  // namespace jasminelead
