#include "jasminelead/retry.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

TEST_CASE("the budget allows 10 retries and one for each 10 requests") {
    retry_budget budget;
    const instant now = instant::from_ms(500);
    for (int i = 0; i < 50; ++i) {
        budget.on_request(now);
    }
    int taken = 0;
    while (budget.take(now)) {
        ++taken;
    }
    CHECK(taken == 15);
}

TEST_CASE("requests and retries older than 10 s no longer count") {
    retry_budget budget;
    for (int i = 0; i < 10; ++i) {
        REQUIRE(budget.take(instant::from_ms(500)));
    }
    CHECK_FALSE(budget.has_retries_left(instant::from_ms(9'900)));
    CHECK(budget.has_retries_left(instant::from_ms(10'600)));
}

TEST_CASE("the backoff doubles from 5 ms up to 100 ms with full jitter") {
    std::mt19937_64 random{1};
    for (const auto& [attempt, longest] :
         {std::pair{0U, 5_ms}, std::pair{2U, 20_ms}, std::pair{60U, 100_ms}}) {
        duration shortest_seen = duration::max();
        duration longest_seen;
        for (int i = 0; i < 1'000; ++i) {
            const duration pause = backoff(attempt, random);
            shortest_seen = std::min(shortest_seen, pause);
            longest_seen = std::max(longest_seen, pause);
        }
        CHECK(longest_seen <= longest);
        CHECK(longest_seen > longest * 0.9);
        CHECK(shortest_seen < longest * 0.1);
    }
}

TEST_CASE("only requests that did not run or can safely run twice are retried") {
    const outcome unsent = not_run{reason::peer_unreachable, ""};
    const outcome lost = unknown_outcome{reason::connection_lost, ""};
    const outcome invalid = not_run{reason::statement_error, ""};
    const outcome full = not_run{reason::overloaded, ""};
    CHECK(may_retry(unsent, false, false));
    CHECK_FALSE(may_retry(lost, false, false));
    CHECK(may_retry(lost, true, false));
    CHECK(may_retry(lost, false, true));
    CHECK_FALSE(may_retry(invalid, true, true));
    CHECK_FALSE(may_retry(full, false, true));
    CHECK(may_retry(full, true, false));
    CHECK_FALSE(may_retry(done{}, true, true));
    CHECK(may_retry(lost, false, false, false));
}
