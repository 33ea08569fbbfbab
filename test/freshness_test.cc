#include "jasminelead/freshness.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

instant ms(double at) {
    return instant::from_ms(at);
}

position_stamp stamp(term_number term, term_number log_term, log_position position,
                     endpoint_role role = endpoint_role::replica) {
    return {term, log_term, position, role};
}

position_stamp primary(term_number term, log_position position) {
    return stamp(term, term, position, endpoint_role::primary);
}

const group_id group{"g"};

}  // namespace

TEST_CASE("the age of a replica is measured from the newest mark that it contains") {
    freshness marks;
    CHECK_FALSE(marks.proven_age(group, stamp(1, 1, 99), ms(0)));
    marks.record(group, primary(1, 10), ms(100));
    marks.record(group, primary(1, 20), ms(200));
    CHECK(marks.proven_age(group, stamp(1, 1, 20), ms(250)) == 50_ms);
    CHECK(marks.proven_age(group, stamp(1, 1, 19), ms(250)) == 150_ms);
    CHECK_FALSE(marks.proven_age(group, stamp(1, 1, 9), ms(250)));
}

TEST_CASE("the proven age grows while no mark arrives") {
    freshness marks;
    marks.record(group, primary(1, 10), ms(100));
    CHECK(marks.proven_age(group, stamp(1, 1, 10), ms(5100)) == 5_s);
}

TEST_CASE("a replica with a diverged log proves no age, even at a higher position") {
    freshness marks;
    marks.record(group, stamp(5, 4, 50, endpoint_role::primary), ms(100));
    // Fenced to term 5, but the log still ends in term 3.
    CHECK_FALSE(marks.proven_age(group, stamp(5, 3, 100), ms(150)));
    CHECK(marks.proven_age(group, stamp(5, 4, 50), ms(150)));
    CHECK(marks.proven_age(group, stamp(5, 5, 51), ms(150)));
}

TEST_CASE("answers of replicas and of older terms create no marks") {
    freshness marks;
    marks.record(group, stamp(2, 2, 10), ms(100));
    CHECK(marks.marks(group).size() == 0);
    marks.record(group, primary(2, 10), ms(100));
    marks.record(group, primary(1, 5), ms(200));
    CHECK(marks.marks(group).size() == 1);
}

TEST_CASE("marks stay bounded and ordered and cover a long time under steady load") {
    group_marks marks;
    for (int i = 0; i < 10'000; ++i) {
        marks.record(primary(1, static_cast<log_position>(i)), ms(i));
        REQUIRE(marks.size() <= group_marks::capacity);
    }
    CHECK(marks.proven_age(stamp(1, 1, 9'999), ms(10'000)) == 1_ms);
    for (const int behind : {10, 50, 200, 1'000, 4'000}) {
        const auto position = static_cast<log_position>(9'999 - behind);
        const auto age = marks.proven_age(stamp(1, 1, position), ms(10'000));
        REQUIRE(age);
        CHECK(age->ms() >= behind);
        CHECK(age->ms() <= behind * 1.5 + 10);
    }
}

TEST_CASE("a later mark at the same position replaces the earlier one") {
    group_marks marks;
    marks.record(primary(1, 10), ms(100));
    marks.record(primary(1, 10), ms(900));
    CHECK(marks.size() == 1);
    CHECK(marks.proven_age(stamp(1, 1, 10), ms(1000)) == 100_ms);
}

TEST_CASE("the lag lies between the newest contained mark and the first missing one") {
    group_marks marks;
    CHECK_FALSE(marks.lag(stamp(1, 1, 10), ms(0), ms(0)));
    marks.record(primary(1, 10), ms(100));
    marks.record(primary(1, 20), ms(200));
    marks.record(primary(1, 30), ms(300));
    const auto behind = marks.lag(stamp(1, 1, 15), ms(310), ms(320));
    REQUIRE(behind);
    CHECK(behind->low == 110_ms);
    CHECK(behind->high == 220_ms);
    CHECK(marks.lag(stamp(1, 1, 30), ms(310), ms(320))->low == duration{});
    CHECK(marks.reached_at(1, 15) == ms(200));
    CHECK_FALSE(marks.reached_at(1, 31));
}
