#include "jasminelead/primary_replacement.h"

#include <array>
#include <catch2/catch.hpp>
#include <vector>

using namespace jasminelead;

namespace {

primary_health healthy() {
    primary_health health;
    health.present = 6;
    health.hosts = 6;
    health.gateways = 6;
    health.voters = 6;
    return health;
}

successor_candidate candidate(const char* id, log_position received, std::size_t hosts_without) {
    return {endpoint_id{id}, {3, received}, {}, hosts_without, false};
}

}  // namespace

// Guards against two halves of the fleet that keep replacing each other's primary.
TEST_CASE("a primary is replaced when most hosts have lost it") {
    primary_health health = healthy();
    CHECK(decide_replacement(health) == replacement::none);
    health.voters_without_primary = 3;
    CHECK(decide_replacement(health) == replacement::none);
    health.voters_without_primary = 4;
    CHECK(decide_replacement(health) == replacement::urgent);
}

// Guards against a host that rejoins after a partition and replaces all primaries, because it has
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

// Guards against a primary that is never replaced although all hosts that connect to it have lost
// it, because most hosts of the fleet do not connect to it.
TEST_CASE("only hosts that connect to a group vote on its primary") {
    primary_health health = healthy();
    health.present = 69;
    health.hosts = 69;
    health.gateways = 9;
    health.voters = 9;
    health.voters_without_primary = 5;
    CHECK(decide_replacement(health) == replacement::urgent);
    health.voters = 4;
    health.voters_without_primary = 4;
    CHECK(decide_replacement(health) == replacement::none);
}

// Guards against an outage for the whole length of a partition: four of seven hosts are on the side
// of the primary without the store, where no lease can be confirmed, and the three others reach the
// store and both replicas.
TEST_CASE("hosts that lost the store and are not heard do not keep a primary") {
    const host_view cut_off{false, false, false, true, true};
    const host_view with_store{true, false, true, true, false};
    std::vector<host_view> hosts{cut_off,    cut_off,    cut_off,   cut_off,
                                 with_store, with_store, with_store};
    CHECK(decide_replacement(count_hosts(hosts)) == replacement::urgent);

    SECTION("unless they still hold their leases in the store") {
        for (host_view& host : hosts) {
            host.holds_lease = true;
        }
        CHECK(decide_replacement(count_hosts(hosts)) == replacement::none);
    }
    SECTION("unless they ask the others for confirmations") {
        for (host_view& host : hosts) {
            host.is_heard = true;
        }
        CHECK(decide_replacement(count_hosts(hosts)) == replacement::none);
    }
}

// Guards against a minority that marks a primary it can never replace, so that the majority stops
// using it when the partition ends.
TEST_CASE("a primary is kept while too few granters could learn of its replacement") {
    primary_health health = healthy();
    health.voters_without_primary = 6;
    health.can_reach_granters = false;
    CHECK(decide_replacement(health) == replacement::none);
}

TEST_CASE("a primary that is unregistered or has stepped down is replaced") {
    primary_health health = healthy();
    health.is_listed = false;
    CHECK(decide_replacement(health) == replacement::urgent);
    health = healthy();
    health.reports_replica_role = true;
    CHECK(decide_replacement(health) == replacement::urgent);
}

TEST_CASE("a leaving primary gets a planned replacement") {
    primary_health health = healthy();
    health.is_leaving = true;
    CHECK(decide_replacement(health) == replacement::planned);
}

// Guards against losing commits that another replica has.
TEST_CASE("the replica with the most complete log is promoted") {
    const std::array all{candidate("a", 10, 0), candidate("b", 12, 2), candidate("c", 11, 0)};
    CHECK(choose_successor(all, 6, std::nullopt) == 1);
}

// Guards against rolled-back commits that reappear. A primary is partitioned together with one
// replica, another replica becomes primary of term 2 at 1.126, and that primary is lost after the
// partition has healed.
TEST_CASE("a log with rolled-back commits of an earlier primary has diverged") {
    const log_point taken_over{1, 126};
    CHECK(has_diverged({1, 142}, 2, taken_over));
    CHECK_FALSE(has_diverged({1, 126}, 2, taken_over));
    CHECK_FALSE(has_diverged({1, 100}, 2, taken_over));
    CHECK_FALSE(has_diverged({2, 127}, 2, taken_over));
    // Without a replacement there is only one history of the log.
    CHECK_FALSE(has_diverged({1, 142}, 0, {}));
}

// Guards against a successor that most hosts cannot reach and that is replaced again at once.
TEST_CASE("a replica that most hosts cannot reach is promoted only if no other is left") {
    const std::array all{candidate("a", 10, 0), candidate("b", 12, 4)};
    CHECK(choose_successor(all, 6, std::nullopt) == 0);
    const std::array last{candidate("b", 12, 4)};
    CHECK(choose_successor(last, 6, std::nullopt) == 0);
    CHECK_FALSE(choose_successor({}, 6, std::nullopt));
}

// Guards against a second promotion while the first one may still take effect.
TEST_CASE("an endpoint whose promotion is pending is chosen again") {
    const std::array all{candidate("a", 20, 0), candidate("b", 10, 5)};
    CHECK(choose_successor(all, 6, std::nullopt) == 0);
    CHECK(choose_successor(all, 6, endpoint_id{"b"}) == 1);
    CHECK(choose_successor(all, 6, endpoint_id{"c"}) == 0);
}

// Guards against a former primary that is taken for the present one, and against the promotion of a
// second endpoint when another host has promoted one.
TEST_CASE("a candidate leads if it reports the role with the newest term") {
    auto former = candidate("a", 20, 0);
    former.reported = {endpoint_role::primary, 4};
    auto replica = candidate("b", 20, 0);
    replica.reported = {endpoint_role::replica, 6};
    auto promoted = candidate("c", 10, 0);
    promoted.reported = {endpoint_role::primary, 6};
    CHECK_FALSE(find_leader(std::array{former, replica}, 6));
    CHECK(find_leader(std::array{former, replica, promoted}, 6) == 2);
    CHECK_FALSE(find_leader(std::array{former, replica, promoted}, 7));
}
