#pragma once

#include <array>
#include <cstdint>
#include <random>

#include "jasminelead/messages.h"
#include "jasminelead/types.h"

/// Retry policy: which requests are retried, how often and after which delay.
namespace jasminelead {

/// Limits retries to 10% of the requests of the last 10 s, plus 10.
class retry_budget {
public:
    void on_request(instant now);
    /// Consumes one retry; returns false if none is left.
    bool take(instant now);
    [[nodiscard]] bool has_retries_left(instant now);

private:
    static constexpr std::size_t buckets = 10;
    struct bucket {
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };
    bucket& current(instant now);

    std::array<bucket, buckets> m_buckets{};
};

/// Exponential backoff with full jitter: uniform between 0 and 5 ms x 2^attempt, at most 100 ms.
/// `attempt` starts at 0.
duration backoff(unsigned attempt, std::mt19937_64& random);

/// True for refusals that may not recur later or at another endpoint.
bool is_transient(reason why);

/// True if the request provably did not run and may succeed later, or if it can safely run twice.
/// `guard` is false only in tests.
bool may_retry(const outcome& result, bool read, bool idempotent, bool guard = true);

}  // namespace jasminelead
