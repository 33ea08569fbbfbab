#include "jasminelead/promotion.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const group_id shows{"shows"};
const endpoint_id a{"i-a"};
const endpoint_id b{"i-b"};
const endpoint_id c{"i-c"};
const instant start = instant::from_ms(1000);

group_record mark(revision_number revision, const endpoint_id& successor) {
    group_record record;
    record.revision = revision;
    record.phase = leadership_phase::changing;
    record.primary = a;
    record.successor = successor;
    return record;
}

group_record led(revision_number revision, const endpoint_id& primary) {
    group_record record;
    record.revision = revision;
    record.primary = primary;
    return record;
}

}  // namespace

// Guards against a former primary that is used because it still reports its role (rule ONE), and
// against a wait for a newer term when a new endpoint has taken the primary's place with its term.
TEST_CASE("the role shows a leader only together with the newest term") {
    CHECK(leads({endpoint_role::primary, 5}, 4));
    CHECK(leads({endpoint_role::primary, 4}, 4));
    CHECK_FALSE(leads({endpoint_role::primary, 3}, 4));
    CHECK_FALSE(leads({endpoint_role::replica, 5}, 4));
}

// Guards against a former primary that is used because the endpoint that was promoted was lost
// before any other one learned of its term.
TEST_CASE("after a mark no endpoint leads in the record's term") {
    group_record record = led(5, a);
    record.term = 3;
    CHECK(lowest_leader_term(record, 3) == 3);
    CHECK(lowest_leader_term(record, 4) == 4);
    record.phase = leadership_phase::changing;
    CHECK(lowest_leader_term(record, 3) == 4);
    CHECK(lowest_leader_term(record, 6) == 6);
}

// Guards against a promotion that is executed after another endpoint has been promoted.
TEST_CASE("no other endpoint is promoted until a sent promotion has settled") {
    pending_promotions pending;
    CHECK(pending.may_promote(shows, b, start));
    pending.on_sent(shows, b, start);
    CHECK(pending.successor(shows, start) == b);
    CHECK(pending.may_promote(shows, b, start));
    CHECK_FALSE(pending.may_promote(shows, c, start + promotion_settle_time - 1_ms));
    CHECK(pending.may_promote(shows, c, start + promotion_settle_time));
    CHECK_FALSE(pending.successor(shows, start + promotion_settle_time));
    CHECK(pending.may_promote(group_id{"other"}, c, start));
}

// Guards against a repeated call that takes effect after its endpoint was replaced.
TEST_CASE("each sent promotion is pending until one effect for it was seen") {
    pending_promotions pending;
    pending.on_sent(shows, b, start);
    pending.on_sent(shows, b, start + 1_s);
    pending.on_effect(shows, b);
    CHECK_FALSE(pending.may_promote(shows, c, start + 2_s));
    pending.on_effect(shows, b);
    CHECK(pending.may_promote(shows, c, start + 2_s));
    pending.on_effect(shows, b);
    CHECK(pending.may_promote(shows, c, start + 2_s));
}

// Guards against a promotion of a process that has ended, which the next host does not know.
TEST_CASE("the successor of another process's mark counts as promoted until a record ends it") {
    const duration longest = promotion_window + promotion_settle_time;
    pending_promotions pending;
    pending.on_record(shows, mark(5, b), false, start);
    pending.on_record(shows, mark(5, b), false, start + 1_s);
    CHECK_FALSE(pending.may_promote(shows, c, start + longest - 1_ms));
    CHECK(pending.may_promote(shows, c, start + longest));
    pending.on_record(shows, mark(6, c), false, start + 2_s);
    CHECK(pending.successor(shows, start + 2_s) == c);
    CHECK(pending.may_promote(shows, c, start + 2_s));
    pending.on_record(shows, led(7, c), false, start + 3_s);
    CHECK(pending.may_promote(shows, b, start + 3_s));
}

// Guards against a wait for a promotion that this process has not sent.
TEST_CASE("own marks do not count as promotions, and own calls outlive the records of others") {
    pending_promotions pending;
    pending.on_record(shows, mark(5, b), true, start);
    CHECK(pending.may_promote(shows, c, start));
    pending.on_sent(shows, b, start);
    pending.on_record(shows, led(6, a), false, start + 1_s);
    CHECK_FALSE(pending.may_promote(shows, c, start + 1_s));
}
