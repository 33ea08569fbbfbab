#include "jasminelead/read_selector.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

read_candidate replica(const char* id, bool is_local) {
    read_candidate candidate;
    candidate.id = endpoint_id{id};
    candidate.is_local = is_local;
    candidate.slots = 3;
    candidate.mean_time = 20_ms;
    candidate.point = log_point{3, 100};
    return candidate;
}

read_candidate primary(const char* id, bool is_local) {
    read_candidate candidate = replica(id, is_local);
    candidate.is_primary = true;
    return candidate;
}

const read_constraint old_data{log_point{3, 90}, 1_s};

}  // namespace

TEST_CASE("a read goes to the replica in the same data centre") {
    const std::vector all{primary("a", false), replica("b", false), replica("c", true)};
    CHECK(choose_read_endpoint(all, old_data) == 2);
}

// Load pattern: the local replica has a queue while others are idle.
TEST_CASE("a read avoids a busy local replica") {
    std::vector all{primary("a", false), replica("b", false), replica("c", true)};
    all[2].running = 3;
    all[2].waiting = 3;
    CHECK(choose_read_endpoint(all, old_data) == 1);
}

// Load pattern: replicas are seconds behind, and reads that need newer data try them first.
TEST_CASE("a replica that is known to lag is not tried first") {
    std::vector all{primary("a", true), replica("b", true)};
    all[1].point = log_point{3, 80};
    all[1].lag = 2_s;
    CHECK(choose_read_endpoint(all, old_data) == 0);
}

// Load pattern: both replicas are seconds behind. The primary has to serve the reads, and a replica
// is tried again only when its known lag is outdated.
TEST_CASE("replicas that lag by a wide margin are excluded until their known lag is outdated") {
    std::vector all{replica("a", true), replica("b", false)};
    for (read_candidate& candidate : all) {
        candidate.point = log_point{3, 80};
        candidate.lag = 3_s;
        candidate.answer_age = 50_ms;
    }
    CHECK_FALSE(choose_read_endpoint(all, old_data));
    all[1].answer_age = 300_ms;
    CHECK(choose_read_endpoint(all, old_data) == 1);
}

TEST_CASE("without a required log point only the primary serves the read") {
    std::vector all{primary("a", false), replica("b", true)};
    CHECK(choose_read_endpoint(all, {}) == 0);
    all[0].is_reachable = false;
    CHECK_FALSE(choose_read_endpoint(all, {}));
}

TEST_CASE("endpoints that were tried or are unreachable are excluded") {
    std::vector all{replica("a", true), replica("b", false)};
    all[0].is_excluded = true;
    CHECK(choose_read_endpoint(all, old_data) == 1);
    all[1].is_reachable = false;
    CHECK_FALSE(choose_read_endpoint(all, old_data));
}
