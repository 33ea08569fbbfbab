#include "jasminelead/endpoint_health.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

TEST_CASE("an endpoint is unreachable from the first failed connection to the next answer") {
    const instant start = instant::from_ms(1000);
    endpoint_health health;
    CHECK(health.is_reachable());
    health.on_connect_failed(start);
    health.on_connect_failed(start + 1_s);
    CHECK(health.unreachable_since() == start);
    health.on_answer();
    CHECK(health.is_reachable());
    CHECK(health.failures() == 0);
}

// Guards against a flood of connection attempts to an endpoint that is down.
TEST_CASE("the delay between connection attempts grows up to a limit") {
    const instant start = instant::from_ms(1000);
    endpoint_health health;
    duration last;
    for (int i = 0; i < 8; ++i) {
        health.on_connect_failed(start);
        CHECK(health.retry_at() - start >= last);
        last = health.retry_at() - start;
    }
    CHECK(last == 400_ms);
}
