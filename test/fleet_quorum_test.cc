#include "jasminelead/fleet_quorum.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

// Guards against a primary that is replaced while hosts without the store rely on it. Load
// pattern: three of six hosts lose the store, one host is replaced by a new one, and the new one
// and two others replace the primary. With majorities, {2 old, 1 new} of 6 and {3 old} of 5 did
// not meet.
TEST_CASE("hosts vouch for each other only when none of those they know is missing") {
    CHECK(can_confirm_leases_without_store(5, 5, 2_s, 1500_ms));
    CHECK_FALSE(can_confirm_leases_without_store(3, 5, 2_s, 1500_ms));
    CHECK_FALSE(can_confirm_leases_without_store(4, 5, 2_s, 1500_ms));
    CHECK_FALSE(can_confirm_leases_without_store(0, 0, 2_s, 1500_ms));
}

// Guards against a newcomer that replaces a primary while hosts that never heard of it vouch for
// each other.
TEST_CASE("leases from other hosts end before a newcomer may replace a primary") {
    CHECK(can_confirm_leases_without_store(5, 5, new_host_replacement_delay - 1501_ms, 1500_ms));
    CHECK_FALSE(
        can_confirm_leases_without_store(5, 5, new_host_replacement_delay - 1500_ms, 1500_ms));
}

TEST_CASE("a primary is unused when all hosts have stopped or their leases have ended") {
    CHECK(is_primary_unused({6, 6, 20_ms, 1500_ms}));
    CHECK_FALSE(is_primary_unused({6, 5, 1499_ms, 1500_ms}));
    CHECK(is_primary_unused({6, 1, 1500_ms, 1500_ms}));
    CHECK_FALSE(is_primary_unused({0, 0, 20_ms, 1500_ms}));
}

// Guards against hosts of a data centre that is cut off which remove all others.
TEST_CASE("few hosts remove others later than many") {
    CHECK(may_remove_host(5, 6, 1_s));
    CHECK(may_remove_host(3, 6, 1_s));
    CHECK_FALSE(may_remove_host(2, 6, 1_s));
    CHECK(may_remove_host(2, 6, 6_s));
}
