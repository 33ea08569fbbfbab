#include "jasminelead/read_selector.h"

#include <algorithm>
#include <vector>

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
constexpr double weight_of_slower_mean = 0.3;

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

duration mean_time(const read_candidate& candidate) {
    return candidate.mean_time > duration{} ? candidate.mean_time : assumed_time;
}

/// Statements of this host at the endpoint, relative to its slots.
double load_of(const read_candidate& candidate) {
    return static_cast<double>(candidate.running + candidate.waiting) /
           static_cast<double>(candidate.slots);
}

duration fixed_cost(const read_candidate& candidate, const read_constraint& need) {
    duration total;
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

duration cost(const read_candidate& candidate, const read_constraint& need) {
    return mean_time(candidate) * (load_of(candidate) + 1) + fixed_cost(candidate, need);
}

bool is_usable(const read_candidate& candidate, const read_constraint& need) {
    const bool can_answer = candidate.is_primary || need.after.has_value();
    if (!candidate.is_reachable || candidate.is_excluded || !can_answer) {
        return false;
    }
    return !need.after || !is_surely_behind(candidate, need);
}

/// Most of a longer mean time is a queue that may be gone by now, and that other hosts avoid as
/// well.
duration damped_mean(const read_candidate& candidate, duration fastest) {
    return fastest + (mean_time(candidate) - fastest) * weight_of_slower_mean;
}

struct rated_candidate {
    std::size_t index = 0;
    duration total;  ///< Cost of a read there.
    duration fixed;  ///< The part of it that does not depend on the load.
};

/// The usable candidates.
std::vector<rated_candidate> rate(std::span<const read_candidate> candidates,
                                  const read_constraint& need) {
    duration fastest = duration::max();
    for (const read_candidate& candidate : candidates) {
        if (is_usable(candidate, need)) {
            fastest = std::min(fastest, mean_time(candidate));
        }
    }
    std::vector<rated_candidate> rated;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (is_usable(candidates[i], need)) {
            read_candidate known = candidates[i];
            known.mean_time = damped_mean(known, fastest);
            rated.push_back({i, cost(known, need), fixed_cost(known, need)});
        }
    }
    return rated;
}

bool is_cheaper(const rated_candidate& a, const rated_candidate& b) {
    return a.total < b.total;
}

bool has_lower_fixed_cost(const rated_candidate& a, const rated_candidate& b) {
    return a.fixed < b.fixed;
}

}  // namespace

std::optional<std::size_t> choose_read_endpoint(std::span<const read_candidate> candidates,
                                                const read_constraint& need) {
    std::optional<std::size_t> best;
    duration best_cost;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!is_usable(candidates[i], need)) {
            continue;
        }
        const duration candidate_cost = cost(candidates[i], need);
        if (!best || candidate_cost < best_cost) {
            best = i;
            best_cost = candidate_cost;
        }
    }
    return best;
}

/// Two random choices, unless this host has no statement at an endpoint that is preferred anyway.
/// Comparing all endpoints by the same old answers would make the hosts choose the same one.
std::optional<std::size_t> choose_balanced_read_endpoint(std::span<const read_candidate> candidates,
                                                         const read_constraint& need,
                                                         random_source& random) {
    auto rated = rate(candidates, need);
    if (rated.empty()) {
        return std::nullopt;
    }
    // Among equals, the order decides.
    std::shuffle(rated.begin(), rated.end(), random);
    const duration lowest =
        std::min_element(rated.begin(), rated.end(), has_lower_fixed_cost)->fixed;
    const auto unused = std::find_if(rated.begin(), rated.end(), [&](const auto& item) {
        return item.fixed == lowest && load_of(candidates[item.index]) == 0;
    });
    if (unused != rated.end()) {
        return unused->index;
    }
    return rated.size() == 1 ? rated.front().index : std::min(rated[0], rated[1], is_cheaper).index;
}

}  // namespace jasminelead
