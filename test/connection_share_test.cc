#include "jasminelead/connection_share.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const instant start = instant::from_ms(1000);

}  // namespace

TEST_CASE("half of the limit is shared equally, with at least one connection per host") {
    connection_share share;
    share.set_limit(22, 3);
    CHECK(share.share() == 3);
    CHECK(share.allowed(start) == 3);
    share.set_limit(22, 6);
    CHECK(share.share() == 1);
    share.set_limit(34, 69);
    CHECK(share.share() == 1);
}

// Guards against hosts that restart after a power loss and find each endpoint full, because it
// keeps the connections of their earlier processes for seconds.
TEST_CASE("idle connections of all hosts use at most half of the limit") {
    for (std::uint32_t hosts = 1; hosts <= 60; ++hosts) {
        for (const std::uint32_t limit : {16U, 22U, 34U, 88U, 151U}) {
            connection_share share;
            share.set_limit(limit, hosts);
            const bool can_leave_half = limit / 2 >= hosts;
            if (can_leave_half) {
                REQUIRE(2 * hosts * share.share() <= limit);
            }
            REQUIRE(share.share() >= 1);
        }
    }
}

// Load pattern: all daemons open connections at once after a restart. The last one is below its
// share and retries soon; one above its share waits longer.
TEST_CASE("after a refusal a daemon below its share retries sooner") {
    connection_share late;
    late.set_limit(22, 6);
    late.on_refused(0, start);
    connection_share early;
    early.set_limit(22, 6);
    early.on_refused(9, start);
    CHECK(late.retry_at() < early.retry_at());
    CHECK(late.allowed(start + 1_ms) == 0);
    CHECK(late.allowed(late.retry_at()) == 2);
    CHECK(early.allowed(start + 1_ms) == 2);
}

// Guards against one busy host that uses up an endpoint's limit. Load pattern: callers wait after
// an outage, and each host could use as many connections as its queue is long.
TEST_CASE("all hosts together leave connections of an endpoint free") {
    for (const std::uint32_t limit : {16U, 22U, 34U, 50U, 88U, 151U}) {
        for (std::uint32_t hosts = 1; 2 * hosts < limit; ++hosts) {
            connection_share share;
            share.set_limit(limit, hosts);
            REQUIRE(hosts * share.allowed(start) < limit);
            REQUIRE(share.allowed(start) >= 2);
        }
    }
}

// Guards against replicas whose connections are kept by hosts that rarely use them.
TEST_CASE("connections of accounts are shared by weight and leave a quarter of the limit") {
    connection_share local;
    local.set_weighted_limit(56, 3, 10);
    CHECK(local.share() == 12);
    connection_share remote;
    remote.set_weighted_limit(56, 1, 10);
    CHECK(remote.share() == 4);
    CHECK(2 * local.share() + 4 * remote.share() <= 56 * 3 / 4);
    remote.set_weighted_limit(56, 0, 10);
    CHECK(remote.share() == 0);
    remote.set_weighted_limit(2, 1, 60);
    CHECK(remote.share() == 1);
}
