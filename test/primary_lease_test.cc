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
