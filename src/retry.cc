#include "jasminelead/retry.h"

namespace jasminelead {
namespace {

using namespace literals;

constexpr duration initial_backoff = 5_ms;
constexpr duration max_backoff = 100_ms;
constexpr std::uint64_t min_retries = 10;
constexpr std::uint64_t requests_per_retry = 10;  // 10% of the requests.
constexpr std::int64_t us_per_second = 1'000'000;

}  // namespace

retry_budget::bucket& retry_budget::current(instant now) {
    const std::int64_t second = now.since_start().us() / us_per_second;
    bucket& slot = m_buckets.at(static_cast<std::size_t>(second) % buckets);
    if (slot.second != second) {
        slot = bucket{second, 0, 0};
    }
    return slot;
}

void retry_budget::on_request(instant now) {
    ++current(now).requests;
}

bool retry_budget::has_retries_left(instant now) {
    const std::int64_t newest = current(now).second;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const bucket& slot : m_buckets) {
        if (slot.second > newest - static_cast<std::int64_t>(buckets)) {
            requests += slot.requests;
            retries += slot.retries;
        }
    }
    return retries < requests / requests_per_retry + min_retries;
}

bool retry_budget::take(instant now) {
    if (!has_retries_left(now)) {
        return false;
    }
    ++current(now).retries;
    return true;
}

duration backoff(unsigned attempt, std::mt19937_64& random) {
    duration longest = initial_backoff;
    for (unsigned i = 0; i < attempt && longest < max_backoff; ++i) {
        longest = std::min(longest * 2, max_backoff);
    }
    std::uniform_int_distribution<std::int64_t> uniform{0, longest.us()};
    return duration::from_us(uniform(random));
}

bool is_transient(reason why) {
    switch (why) {
        case reason::no_primary:
        case reason::no_owner:
        case reason::not_owner:
        case reason::not_primary:
        case reason::endpoint_leaving:
        case reason::endpoint_unavailable:
        case reason::endpoint_refused:
        case reason::draining:
        case reason::connection_lost:
        case reason::peer_lost:
        case reason::peer_unreachable:
        case reason::stale_answer:
            return true;
        default:
            return false;
    }
}

bool may_retry(const outcome& result, bool read, bool idempotent, bool guard) {
    if (const auto* refused = std::get_if<not_run>(&result)) {
        // Another endpoint may have capacity for a read. A write can only go to the primary, where
        // a retry would add to the overload.
        const bool elsewhere = read && (refused->why == reason::overloaded ||
                                        refused->why == reason::connection_limit ||
                                        refused->why == reason::no_majority);
        return is_transient(refused->why) || elsewhere;
    }
    if (std::holds_alternative<unknown_outcome>(result)) {
        return read || idempotent || !guard;
    }
    return false;
}

}  // namespace jasminelead
