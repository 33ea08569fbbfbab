#include "jasminelead/connection_share.h"

#include <algorithm>

namespace jasminelead {
namespace {

using namespace literals;

// Other daemons close idle connections above their share within `idle_timeout_above_share`. A
// daemon below its share retries sooner than one above.
constexpr duration retry_below_share = 50_ms;
constexpr duration retry_above_share = 400_ms;
// An endpoint keeps the connections of hosts that lost power for seconds. Half of the limit is left
// for the processes that replace them.
constexpr std::uint32_t share_divisor = 2;
// A connection that is kept for its account saves the cost of opening another one, so that only a
// quarter is left free.
constexpr double kept_for_accounts = 0.75;
// With a second connection, statements run while a transaction holds the first one.
constexpr std::uint32_t min_allowed = 2;

}  // namespace

void connection_share::set_limit(std::uint32_t max_connections, std::uint32_t hosts) {
    m_max_connections = std::max<std::uint32_t>(max_connections, 1);
    const std::uint32_t kept = m_max_connections / share_divisor;
    m_share = hosts == 0 ? 0 : std::max<std::uint32_t>(kept / hosts, 1);
}

void connection_share::set_weighted_limit(std::uint32_t max_connections, std::uint32_t weight,
                                          std::uint32_t total_weight) {
    m_max_connections = std::max<std::uint32_t>(max_connections, 1);
    const double kept = m_max_connections * kept_for_accounts * weight;
    m_share =
        weight == 0
            ? 0
            : std::max(static_cast<std::uint32_t>(kept / std::max<std::uint32_t>(total_weight, 1)),
                       1U);
}

void connection_share::on_refused(std::uint32_t open, instant now) {
    m_open_at_refusal = open;
    m_retry_at = now + (open < m_share ? retry_below_share : retry_above_share);
}

std::uint32_t connection_share::allowed(instant now) const {
    const std::uint32_t most = std::min(std::max(m_share, min_allowed), m_max_connections);
    return now < m_retry_at ? std::min(m_open_at_refusal, most) : most;
}

}  // namespace jasminelead
