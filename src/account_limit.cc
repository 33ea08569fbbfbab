#include "jasminelead/account_limit.h"

#include <algorithm>

namespace jasminelead {
namespace {

using namespace literals;

constexpr double ms_per_s = 1000;
// The rest of the burst is added to the rate.
constexpr double burst_in_capacity = 0.4;
// The rest of the slack covers what the inequality of the design does not count: an operation that
// a suspended host sends after it wakes.
constexpr double slack_in_capacity = 0.5;
// Operations that wait for longer after they were counted are counted again. With the whole of
// excess x window the room would be used up.
constexpr double age_in_excess_window = 0.6;
constexpr duration min_token_age = 20_ms;

}  // namespace

double limit_tolerance::allowed_in_window(const operation_limit& limit) const {
    return (limit.per_s * window.ms() / ms_per_s + limit.burst) * (1 + excess) + slack;
}

duration limit_tolerance::max_token_age() const {
    return std::max(window * (excess * age_in_excess_window), min_token_age);
}

/// A window may hold rate x window + burst, also when the one before it did. A bucket with the
/// limit's own rate and burst would refuse operations below that. Part of the slack is added to the
/// capacity: divided among data centres, the burst of a small account would be less than one
/// operation for each.
bucket_limit plan_bucket(const operation_limit& limit, const limit_tolerance& tolerance) {
    const double window_s = tolerance.window.ms() / ms_per_s;
    const double capacity = limit.burst * burst_in_capacity;
    return {limit.per_s + (limit.burst - capacity) / window_s,
            capacity + tolerance.slack * slack_in_capacity};
}

}  // namespace jasminelead
