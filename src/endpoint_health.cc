#include "jasminelead/endpoint_health.h"

#include <algorithm>

namespace jasminelead {
namespace {

using namespace literals;

constexpr duration first_retry = 50_ms;
constexpr duration longest_retry = 400_ms;
constexpr std::uint32_t most_doublings = 3;

}  // namespace

void endpoint_health::on_answer() {
    m_unreachable_since.reset();
    m_failures = 0;
}

void endpoint_health::on_connect_failed(instant now) {
    if (!m_unreachable_since) {
        m_unreachable_since = now;
    }
    const std::uint32_t doublings = std::min(m_failures, most_doublings);
    m_retry_at = now + std::min(first_retry * static_cast<double>(1U << doublings), longest_retry);
    ++m_failures;
}

}  // namespace jasminelead
