#pragma once

#include "jasminelead/types.h"

/// Limits of accounts in operations. An operation is a statement outside of a transaction, or a
/// transaction as a whole.
namespace jasminelead {

/// What an account may run on all hosts together.
struct operation_limit {
    double per_s = 0;
    double burst = 0;
    bool operator==(const operation_limit&) const = default;
};

/// How far an account may exceed its limit: the operations that are sent to endpoints in any
/// `window` are at most (rate x window + burst) x (1 + excess) + slack.
struct limit_tolerance {
    duration window = duration::from_ms(5000);
    double excess = 0.1;
    double slack = 20;

    [[nodiscard]] double allowed_in_window(const operation_limit& limit) const;
    /// Longest time between the request to count an operation and its start at an endpoint.
    [[nodiscard]] duration max_token_age() const;
};

/// The limit that the hosts keep: rate and capacity of one token bucket, which they divide. The
/// rate is above the one of the limit, because a part of the burst is given in each window.
struct bucket_limit {
    double per_s = 0;
    double capacity = 0;
};

/// The bucket that keeps the limit within the tolerance.
bucket_limit plan_bucket(const operation_limit& limit, const limit_tolerance& tolerance);

}  // namespace jasminelead
