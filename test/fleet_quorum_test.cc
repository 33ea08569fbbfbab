#include "jasminelead/fleet_quorum.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

// Guards against replacing a primary that hosts without access to the store still use. Three of six
// hosts lose the store, one host is replaced by a new one, and the new host replaces the primary
// together with two others. Majorities are not enough: {2 old, 1 new} of 6 and {3 old} of 5 do not
// intersect.
TEST_CASE("hosts confirm leases only if all registered hosts take part") {
    CHECK(can_confirm_leases_without_store(5, 5, 2_s, 1500_ms));
    CHECK_FALSE(can_confirm_leases_without_store(3, 5, 2_s, 1500_ms));
    CHECK_FALSE(can_confirm_leases_without_store(4, 5, 2_s, 1500_ms));
    CHECK_FALSE(can_confirm_leases_without_store(0, 0, 2_s, 1500_ms));
}

// Guards against a new host that replaces a primary while hosts that do not know it confirm each
// other's leases.
TEST_CASE("leases confirmed by other hosts expire before a new host may replace a primary") {
    CHECK(can_confirm_leases_without_store(5, 5, new_host_replacement_delay - 1501_ms, 1500_ms));
    CHECK_FALSE(
        can_confirm_leases_without_store(5, 5, new_host_replacement_delay - 1500_ms, 1500_ms));
}

TEST_CASE("a primary is unused once all hosts have stopped using it or their leases have expired") {
    CHECK(is_primary_unused({6, 6, true, 20_ms, 20_ms, 1500_ms}));
    CHECK_FALSE(is_primary_unused({6, 5, true, 1499_ms, 1499_ms, 1500_ms}));
    CHECK(is_primary_unused({6, 1, true, 1500_ms, 1500_ms, 1500_ms}));
    CHECK_FALSE(is_primary_unused({0, 0, true, 20_ms, 20_ms, 1500_ms}));
}

// Guards against a promotion while hosts that the replacing host does not know, or that rely on
// granters without the mark, still use the old primary.
TEST_CASE("acknowledgements do not end the wait for hosts that may be unknown") {
    CHECK_FALSE(is_primary_unused({6, 6, false, 20_ms, 20_ms, 1500_ms}));
    CHECK(is_primary_unused({6, 6, false, 1500_ms, 1500_ms, 1500_ms}));
    CHECK_FALSE(is_primary_unused({6, 6, true, std::nullopt, 3_s, 1500_ms}));
    CHECK(is_primary_unused({6, 1, true, std::nullopt, 9500_ms, 1500_ms}));
}

// Guards against callers that stay with a host of a data centre that is cut off, and against hosts
// that all send their callers away because the store is down.
TEST_CASE("a host is isolated when neither the store nor most hosts answer") {
    CHECK(is_host_isolated({false, 6, 1}));
    CHECK_FALSE(is_host_isolated({false, 6, 3}));
    CHECK_FALSE(is_host_isolated({true, 6, 0}));
    CHECK_FALSE(is_host_isolated({false, 0, 0}));
}

// Guards against hosts of a partitioned data centre that remove all other hosts.
TEST_CASE("a minority waits longer than a majority before it removes hosts") {
    CHECK(may_remove_host(5, 6, 1_s));
    CHECK(may_remove_host(3, 6, 1_s));
    CHECK_FALSE(may_remove_host(2, 6, 1_s));
    CHECK(may_remove_host(2, 6, 6_s));
}
