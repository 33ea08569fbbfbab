#include "jasminelead/read_bounds.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const instant start = instant::from_ms(10'000);

read_bounds marks_every_100_ms() {
    read_bounds bounds;
    for (log_position i = 0; i <= 20; ++i) {
        bounds.record({start + 100_ms * static_cast<double>(i), {3, 100 + i}, 7});
    }
    return bounds;
}

}  // namespace

// Guards against reads of old data (rule STALE): a replaced primary still answers, and its position
// lacks the commits of the new one.
TEST_CASE("an answer gives a mark only under a permit that is still valid") {
    const group_id shows{"shows"};
    primary_lease lease{900_ms};
    group_record record;
    record.revision = 5;
    record.primary = endpoint_id{"i-a"};
    lease.apply(shows, record);
    lease.confirm(start);
    const auto permit = lease.permit(shows, start);
    REQUIRE(permit);
    const primary_answer answer{*permit, start, start + 100_ms, {3, 120}};
    const auto mark = mark_from(answer, lease, shows);
    REQUIRE(mark);
    CHECK(mark->sent == start);
    CHECK(mark->point == log_point{3, 120});
    CHECK(mark->leadership == 5);
    primary_answer late = answer;
    late.received = start + 1_s;
    CHECK_FALSE(mark_from(late, lease, shows));
    record.revision = 6;
    record.phase = leadership_phase::changing;
    lease.apply(shows, record);
    CHECK_FALSE(mark_from(answer, lease, shows));
    record.revision = 7;
    record.phase = leadership_phase::led;
    record.primary = endpoint_id{"i-b"};
    lease.apply(shows, record);
    CHECK_FALSE(mark_from(answer, lease, shows));
}

// Guards against reads that miss a commit acknowledged before the staleness limit.
TEST_CASE("the oldest mark within the staleness limit bounds a read") {
    const read_bounds bounds = marks_every_100_ms();
    const instant arrived = start + 2_s;
    CHECK(bounds.required(arrived, 1500_ms, {}) == log_point{3, 105});
    CHECK(bounds.required(arrived, 1450_ms, {}) == log_point{3, 106});
    CHECK_FALSE(bounds.required(start + 10_s, 1500_ms, {}));
}

// Guards against sessions that do not read their own writes.
TEST_CASE("the session's own writes are part of the bound") {
    const read_bounds bounds = marks_every_100_ms();
    const instant arrived = start + 2_s;
    CHECK(bounds.required(arrived, 1500_ms, {log_point{3, 119}, 7}) == log_point{3, 119});
    CHECK(bounds.required(arrived, 1500_ms, {log_point{3, 50}, 7}) == log_point{3, 105});
}

// Guards against reads that wait forever for a write that a promotion rolled back.
TEST_CASE("a write under an earlier primary is covered by the first mark of the current one") {
    read_bounds bounds = marks_every_100_ms();
    bounds.record({start + 2100_ms, {4, 110}, 9});
    const instant arrived = start + 2200_ms;
    CHECK(bounds.required(arrived, 1500_ms, {log_point{3, 120}, 7}) == log_point{4, 110});
}

// Guards against a session whose write is newer than all marks of its primary.
TEST_CASE("a write under a later primary than that of the marks requires the primary") {
    const read_bounds bounds = marks_every_100_ms();
    CHECK_FALSE(bounds.required(start + 2_s, 1500_ms, {log_point{4, 110}, 9}));
}

TEST_CASE("marks of an earlier primary are not mixed with later ones") {
    read_bounds bounds = marks_every_100_ms();
    bounds.record({start + 2100_ms, {4, 110}, 9});
    bounds.record({start + 2200_ms, {3, 130}, 7});
    CHECK(bounds.newest()->point == log_point{4, 110});
}

TEST_CASE("the lag of an endpoint is the age of the first mark above it") {
    const read_bounds bounds = marks_every_100_ms();
    const instant now = start + 2_s;
    CHECK(bounds.lag({3, 120}, now) == 0_ms);
    CHECK(bounds.lag({3, 110}, now) == 900_ms);
}
