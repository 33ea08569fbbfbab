#include "jasminelead/primary_outage.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const group_id shows{"shows"};
const instant start = instant::from_ms(50'000);
constexpr duration timeout = 800_ms;
constexpr duration lease_length = 1500_ms;

group_record led(revision_number revision) {
    group_record record;
    record.revision = revision;
    return record;
}

}  // namespace

// Load pattern: writes arrive every 100 ms while a crashed primary is replaced within 1 s.
TEST_CASE("writes wait during a typical failover") {
    primary_outages outages{lease_length};
    const group_record record = led(5);
    for (int i = 0; i < 10; ++i) {
        const instant now = start + 100_ms * i;
        CHECK(outages.on_unavailable(shows, &record, now, now + timeout) == outage_decision::wait);
    }
}

// Load pattern: writes arrive while the primary is partitioned for 6 s without being replaced.
// Writes that would only wait until their timeout are refused at once.
TEST_CASE("writes are refused once the outage exceeds a typical failover") {
    primary_outages outages{lease_length};
    const group_record record = led(5);
    outages.on_unavailable(shows, &record, start, start + timeout);
    const instant now = start + 1500_ms;
    CHECK(outages.on_unavailable(shows, &record, now, now + timeout) == outage_decision::refuse);
    CHECK(outages.on_unavailable(shows, &record, now, now + 5_s) == outage_decision::wait);
    const instant later = start + 6_s;
    CHECK(outages.on_unavailable(shows, &record, later, later + 5_s) == outage_decision::refuse);
}

TEST_CASE("writes wait for a replacement that ends before their timeout") {
    primary_outages outages{lease_length};
    const group_record record = led(5);
    outages.on_unavailable(shows, &record, start, start + timeout);
    group_record marked = led(6);
    marked.phase = leadership_phase::changing;
    const instant seen = start + 2_s;
    CHECK(outages.on_unavailable(shows, &marked, seen, seen + timeout) == outage_decision::refuse);
    const instant late = seen + 1300_ms;
    CHECK(outages.on_unavailable(shows, &marked, late, late + timeout) == outage_decision::wait);
}

TEST_CASE("a new outage starts after the primary was available again") {
    primary_outages outages{lease_length};
    const group_record record = led(5);
    outages.on_unavailable(shows, &record, start, start + timeout);
    outages.on_available(shows);
    const instant now = start + 5_s;
    CHECK(outages.on_unavailable(shows, &record, now, now + timeout) == outage_decision::wait);
}
