#pragma once

#include <array>
#include <cstdint>
#include <random>

#include "jasminelead/messages.h"
#include "jasminelead/types.h"

/// When a request may be sent again, how often and how soon.
namespace jasminelead {

/// Allows retries for 10% of the requests of the last 10 s plus 10.
class retry_budget {
public:
    void on_request(instant now);
    /// Uses one retry; false when none is left.
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

/// Full jitter: uniform between 0 and 5 ms x 2^attempt, at most 100 ms. The first attempt is 0.
duration backoff(unsigned attempt, std::mt19937_64& random);

/// Refusals that may end by themselves or at another endpoint.
bool is_transient(reason why);

/// True when the request provably did not run and may succeed later, or when running it twice
/// does no harm. `guard` is false only in tests.
bool may_retry(const outcome& result, bool read, bool idempotent, bool guard = true);

}  // namespace jasminelead
