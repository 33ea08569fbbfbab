#include "jasminelead/primary_replacement.h"

#include <array>
#include <catch2/catch.hpp>

using namespace jasminelead;

namespace {

primary_health healthy() {
    primary_health health;
    health.registered = 6;
    health.hosts = 6;
    health.gateways = 6;
    health.voters = 6;
    return health;
}

successor_candidate candidate(const char* id, log_position received, std::size_t hosts_without) {
    return {endpoint_id{id}, {3, received}, hosts_without, false};
}

}  // namespace

// Guards against two halves of the fleet that take the primary from each other in turns.
TEST_CASE("a primary is replaced when most hosts have lost it") {
    primary_health health = healthy();
    CHECK(decide_replacement(health) == replacement::none);
    health.voters_without_primary = 3;
    CHECK(decide_replacement(health) == replacement::none);
    health.voters_without_primary = 4;
    CHECK(decide_replacement(health) == replacement::urgent);
}

// Guards against a host that was cut off, comes back and replaces all primaries, because it knows
// only its own view of them.
TEST_CASE("the view of a few hosts does not replace a primary") {
    primary_health health = healthy();
    health.hosts = 1;
    health.voters = 1;
    health.voters_without_primary = 1;
    CHECK(decide_replacement(health) == replacement::none);
    health.hosts = 3;
    health.voters = 3;
    health.voters_without_primary = 2;
    CHECK(decide_replacement(health) == replacement::urgent);
}

// Guards against a primary that is lost to all hosts that use it, in a fleet of which most do not.
TEST_CASE("only hosts that connect to a group vote on its primary") {
    primary_health health = healthy();
    health.registered = 69;
    health.hosts = 69;
    health.gateways = 9;
    health.voters = 9;
    health.voters_without_primary = 5;
    CHECK(decide_replacement(health) == replacement::urgent);
    health.voters = 4;
    health.voters_without_primary = 4;
    CHECK(decide_replacement(health) == replacement::none);
}

TEST_CASE("a primary that is gone or has stepped down is replaced") {
    primary_health health = healthy();
    health.is_listed = false;
    CHECK(decide_replacement(health) == replacement::urgent);
    health = healthy();
    health.reports_replica_role = true;
    CHECK(decide_replacement(health) == replacement::urgent);
}

TEST_CASE("a leaving primary is replaced in a planned way") {
    primary_health health = healthy();
    health.is_leaving = true;
    CHECK(decide_replacement(health) == replacement::planned);
}

// Guards against the loss of commits that another replica has.
TEST_CASE("the most complete log succeeds") {
    const std::array all{candidate("a", 10, 0), candidate("b", 12, 2), candidate("c", 11, 0)};
    CHECK(choose_successor(all, 6) == 1);
}

// Guards against commits that come back after callers have seen them missing. Load pattern: a
// primary is cut off with one replica, another replica leads term 2 from 1.126 on, and the primary
// of term 2 is lost when the cut has healed.
TEST_CASE("a log that kept commits of an earlier primary has diverged") {
    const log_point taken_over{1, 126};
    CHECK(has_diverged({1, 142}, 2, taken_over));
    CHECK_FALSE(has_diverged({1, 126}, 2, taken_over));
    CHECK_FALSE(has_diverged({1, 100}, 2, taken_over));
    CHECK_FALSE(has_diverged({2, 127}, 2, taken_over));
    // Without a replacement there is only one history.
    CHECK_FALSE(has_diverged({1, 142}, 0, {}));
}

// Guards against a successor that most hosts cannot reach, so that it is replaced again at once.
TEST_CASE("a replica that most hosts have lost succeeds only as the last one") {
    const std::array all{candidate("a", 10, 0), candidate("b", 12, 4)};
    CHECK(choose_successor(all, 6) == 0);
    const std::array last{candidate("b", 12, 4)};
    CHECK(choose_successor(last, 6) == 0);
    CHECK_FALSE(choose_successor({}, 6));
}
