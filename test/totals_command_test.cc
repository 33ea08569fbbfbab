#include "ctl/totals_command.h"

#include <catch2/catch.hpp>
#include <sstream>

#include "jasminelead/totals.h"

using namespace jasminelead;
using namespace jasminelead::ctl;

TEST_CASE("totals are the sums over daemons and incarnations") {
    const totals_key key{group_id{"shows-1"}, service_id{"fees"}};
    const std::vector<store_entry> entries = {
        {"totals/2026-12-04/a/1", write_json(day_counts{{key, {5, 1, 0, 4, 3}}})},
        {"totals/2026-12-04/a/2", write_json(day_counts{{key, {2, 0, 1, 0, 0}}})}};
    std::ostringstream out;
    std::ostringstream errors;
    arguments values;
    values.csv = true;
    CHECK(print_totals(values, entries, out, errors) == success);
    CHECK(out.str() ==
          "group,service,done,not_run,unknown,reads,replica_reads,replica_percent\n"
          "shows-1,fees,7,1,1,4,3,75.0\n");
}

// Guards against incomplete sums that look complete.
TEST_CASE("malformed totals make the command fail") {
    std::ostringstream out;
    std::ostringstream errors;
    CHECK(print_totals({}, {{"totals/2026-12-04/a/1", "{}"}}, out, errors) == failure);
    CHECK(errors.str().find("totals/2026-12-04/a/1") != std::string::npos);
}

TEST_CASE("a day has the form YYYY-MM-DD") {
    CHECK(is_day("2026-12-04"));
    CHECK_FALSE(is_day("2026-12-4"));
    CHECK_FALSE(is_day("../../head"));
}
