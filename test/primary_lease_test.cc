#include "jasminelead/primary_lease.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const group_id shows{"shows"};
const instant start = instant::from_ms(1000);

group_record led_by(const char* primary, revision_number revision) {
    group_record record;
    record.revision = revision;
    record.primary = endpoint_id{primary};
    return record;
}

}  // namespace

TEST_CASE("a permit expires one lease length after the last confirmation") {
    primary_lease lease{2_s};
    lease.apply(shows, led_by("a", 5));
    CHECK_FALSE(lease.permit(shows, start));
    lease.confirm(start);
    const auto permit = lease.permit(shows, start + 1999_ms);
    REQUIRE(permit);
    CHECK(permit->primary == endpoint_id{"a"});
    CHECK_FALSE(lease.permit(shows, start + 2_s));
    CHECK_FALSE(lease.is_valid(shows, *permit, start + 2_s));
}

// Guards against writes acknowledged by a primary that is being replaced.
TEST_CASE("the start of a replacement ends the permit at once") {
    primary_lease lease{2_s};
    lease.apply(shows, led_by("a", 5));
    lease.confirm(start);
    const auto permit = lease.permit(shows, start);
    group_record marked = led_by("a", 6);
    marked.phase = leadership_phase::changing;
    lease.apply(shows, marked);
    CHECK_FALSE(lease.is_valid(shows, *permit, start));
    // If the old primary stays in place, it serves under a new record.
    lease.apply(shows, led_by("a", 7));
    CHECK_FALSE(lease.is_valid(shows, *permit, start));
    CHECK(lease.permit(shows, start)->revision == 7);
}

// Guards against a delayed answer of the store that reinstates a replaced primary.
TEST_CASE("older records and confirmations change nothing") {
    primary_lease lease{2_s};
    lease.apply(shows, led_by("b", 9));
    CHECK_FALSE(lease.apply(shows, led_by("a", 8)));
    lease.confirm(start + 1_s);
    lease.confirm(start);
    CHECK(lease.permit(shows, start + 2500_ms)->primary == endpoint_id{"b"});
}

// Guards against a daemon that keeps serving after the fleet has stopped waiting for its
// acknowledgement.
TEST_CASE("after a revocation no permit is valid") {
    primary_lease lease{2_s};
    lease.apply(shows, led_by("a", 5));
    lease.confirm(start);
    lease.revoke();
    CHECK_FALSE(lease.permit(shows, start));
}

// Guards against a primary in use that the store names only because it has lost the record of its
// successor.
TEST_CASE("a record of an earlier era permits no use until it is written again") {
    primary_lease lease{2_s};
    lease.apply(shows, led_by("c", 900));
    lease.confirm(start);
    REQUIRE(lease.permit(shows, start));
    lease.apply(shows, led_by("a", revision_in_era(1, 700)));
    CHECK(lease.is_outdated(*lease.record(shows)));
    CHECK_FALSE(lease.permit(shows, start));
    group_record confirmed = led_by("c", revision_in_era(1, 701));
    confirmed.era = 1;
    lease.apply(shows, confirmed);
    REQUIRE(lease.permit(shows, start));
    CHECK(lease.permit(shows, start)->primary == endpoint_id{"c"});
}

// Guards against the use of a primary whose record the older copy does not contain at all.
TEST_CASE("a new era ends the use of primaries whose records it has not shown") {
    primary_lease lease{2_s};
    lease.apply(shows, led_by("a", 900));
    lease.confirm(start);
    lease.advance_era(1);
    CHECK_FALSE(lease.permit(shows, start));
    lease.advance_era(0);
    CHECK(lease.era() == 1);
}

// Guards against an endpoint that was replaced and counts as the leader again, and against a leader
// that does not count because a restored mark lets only later terms lead: both records state a
// lower term than the lost one.
TEST_CASE("a lost record of a higher term stays known, but permits no use") {
    const auto restored_phase = GENERATE(leadership_phase::led, leadership_phase::changing);
    primary_lease lease{2_s};
    group_record lost = led_by("c", 900);
    lost.term = 5;
    lost.taken_over_at = {4, 77};
    lease.apply(shows, lost);
    group_record restored = led_by("a", revision_in_era(1, 700));
    restored.term = 4;
    restored.phase = restored_phase;
    CHECK(lease.apply(shows, restored));
    const group_record& known = *lease.record(shows);
    CHECK(known.revision == restored.revision);
    CHECK(known.primary == endpoint_id{"c"});
    CHECK(known.phase == leadership_phase::led);
    CHECK(known.term == 5);
    CHECK(lease.is_outdated(known));
    // Endpoints that lost their logs may count terms anew; a host of this era has asked them.
    group_record written = led_by("a", revision_in_era(1, 701));
    written.era = 1;
    written.term = 2;
    lease.apply(shows, written);
    CHECK(lease.record(shows)->term == 2);
}
