#include "jasminelead/replacement_starts.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const group_id shows{"shows"};
const instant start = instant::from_ms(1000);

group_record mark(revision_number revision, revision_number replaced) {
    group_record record;
    record.revision = revision;
    record.phase = leadership_phase::changing;
    record.replaced_revision = replaced;
    return record;
}

}  // namespace

TEST_CASE("repeated marks of one replacement count from the first") {
    replacement_starts starts;
    starts.record(shows, mark(5, 4), start);
    starts.record(shows, mark(9, 4), start + 3_s);
    CHECK(starts.since(shows, start + 4_s) == 4_s);
    CHECK(starts.since(group_id{"other"}, start) == 0_s);
}

// Guards against a promotion while the old primary is in use: it was given up and used again
// between two marks, and the deciding host has not seen the record in between.
TEST_CASE("a mark that replaces another revision counts anew") {
    replacement_starts starts;
    starts.record(shows, mark(5, 4), start);
    starts.record(shows, mark(9, 7), start + 3_s);
    CHECK(starts.since(shows, start + 4_s) == 1_s);
    group_record led;
    led.revision = 10;
    starts.record(shows, led, start + 5_s);
    CHECK(starts.since(shows, start + 6_s) == 0_s);
}

// Guards against marks of earlier builds, which do not state what they replace.
TEST_CASE("a mark without the replaced revision stands for itself") {
    replacement_starts starts;
    starts.record(shows, mark(5, 0), start);
    starts.record(shows, mark(9, 0), start + 3_s);
    CHECK(starts.since(shows, start + 4_s) == 1_s);
}
