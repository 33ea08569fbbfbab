#include "jasminelead/read_selector.h"

namespace jasminelead {
namespace {

using namespace literals;

// A read in another data centre costs the round trip and traffic between data centres.
constexpr duration remote_cost = 12_ms;
// Keeps capacity of the primary for writes while a replica can serve the read as well.
constexpr duration primary_cost = 8_ms;
// One refused attempt plus the round trip of the next one.
constexpr duration lagging_replica_cost = 25_ms;
constexpr duration assumed_time = 15_ms;
// The reported lag of an endpoint is used for this long.
constexpr duration max_trusted_answer_age = 200_ms;

bool is_likely_behind(const read_candidate& candidate, const read_constraint& need) {
    if (candidate.is_primary || (candidate.point && *candidate.point >= *need.after)) {
        return false;
    }
    return candidate.lag >= need.point_age;
}

/// Excludes replicas that are seconds behind; otherwise every read would first be refused by each
/// of them.
bool is_surely_behind(const read_candidate& candidate, const read_constraint& need) {
    const bool is_known = candidate.answer_age < max_trusted_answer_age;
    return is_known && is_likely_behind(candidate, need) &&
           candidate.lag > need.point_age + max_trusted_answer_age;
}

duration cost(const read_candidate& candidate, const read_constraint& need) {
    const duration mean = candidate.mean_time > duration{} ? candidate.mean_time : assumed_time;
    const double ahead = static_cast<double>(candidate.running + candidate.waiting);
    duration total = mean * (ahead / static_cast<double>(candidate.slots) + 1);
    if (!candidate.is_local) {
        total = total + remote_cost;
    }
    if (candidate.is_primary) {
        total = total + primary_cost;
    }
    if (need.after && is_likely_behind(candidate, need)) {
        total = total + lagging_replica_cost;
    }
    return total;
}

}  // namespace

std::optional<std::size_t> choose_read_endpoint(std::span<const read_candidate> candidates,
                                                const read_constraint& need) {
    std::optional<std::size_t> best;
    duration best_cost;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const read_candidate& candidate = candidates[i];
        const bool can_answer = candidate.is_primary || need.after.has_value();
        if (!candidate.is_reachable || candidate.is_excluded || !can_answer) {
            continue;
        }
        if (need.after && is_surely_behind(candidate, need)) {
            continue;
        }
        const duration candidate_cost = cost(candidate, need);
        if (!best || candidate_cost < best_cost) {
            best = i;
            best_cost = candidate_cost;
        }
    }
    return best;
}

}  // namespace jasminelead
