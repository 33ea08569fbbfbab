#include "jasminelead/endpoint_health.h"

#include <algorithm>

namespace jasminelead {
namespace {

using namespace literals;

constexpr duration initial_retry_delay = 50_ms;
constexpr duration max_retry_delay = 400_ms;
constexpr std::uint32_t max_doublings = 3;

}  // namespace

void endpoint_health::on_answer() {
    m_unreachable_since.reset();
    m_failures = 0;
}

void endpoint_health::on_connect_failed(instant now) {
    if (!m_unreachable_since) {
        m_unreachable_since = now;
    }
    const std::uint32_t doublings = std::min(m_failures, max_doublings);
    m_retry_at =
        now + std::min(initial_retry_delay * static_cast<double>(1U << doublings), max_retry_delay);
    ++m_failures;
}

}  // namespace jasminelead
