#include "jasminelead/store_revision.h"

#include <catch2/catch.hpp>

using namespace jasminelead;

// Guards against records of an older copy of the store that count as older than the lost ones: the
// store gives out the later revisions a second time.
TEST_CASE("a revision of a later era is higher than all of the eras before") {
    CHECK(revision_in_era(1, 1) > revision_in_era(0, 900'000'000'000));
    CHECK(revision_in_era(3, 7) > revision_in_era(2, 8));
    CHECK(revision_in_era(2, 9) > revision_in_era(2, 8));
}

TEST_CASE("a revision of the store and its era can be read back") {
    const revision_number revision = revision_in_era(8191, 1'000'000'000'000);
    CHECK(era_of(revision) == 8191);
    CHECK(revision_within_era(revision) == 1'000'000'000'000);
}

// Guards against other numbers than before on deployments whose store has no eras.
TEST_CASE("without eras a revision is the store's own number") {
    CHECK(revision_in_era(0, 42) == 42);
    CHECK(era_of(42) == 0);
}

// Guards against a condition for a missing key that names a revision.
TEST_CASE("no revision has no era") {
    CHECK(revision_in_era(5, 0) == 0);
}
