#include "jasminelead/mark_demand.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const instant start = instant::from_ms(1000);
const group_id shows{"shows"};
const group_id plants{"plants"};

}  // namespace

TEST_CASE("no marks are requested while no read needs one") {
    mark_demand demand;
    CHECK(demand.is_empty());
    CHECK(demand.take(start).empty());
}

TEST_CASE("marks of all groups that need them are requested together") {
    mark_demand demand;
    demand.want(shows);
    demand.want(plants);
    CHECK(demand.take(start) == std::set{plants, shows});
    CHECK(demand.is_empty());
}

// Guards against requests that grow with the load: all hosts restart at once, and 400 reads a
// second find no mark for 3 s.
TEST_CASE("a host requests marks at a bounded rate") {
    mark_demand demand;
    int questions = 0;
    constexpr duration between_reads = 2.5_ms;
    for (instant now = start; now < start + 3_s; now = now + between_reads) {
        demand.want(shows);
        questions += demand.take(now).empty() ? 0 : 1;
    }
    CHECK(questions >= 25);
    CHECK(questions <= 31);
}
