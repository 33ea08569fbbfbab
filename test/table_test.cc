#include "jasminelead/table.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

using namespace jasminelead;

namespace {

table sample() {
    table rows;
    rows.groups[group_id{"shows-1"}] = {};
    rows.groups[group_id{"odd, \"name\""}] = {duration::from_ms(0), durability::primary};
    for (const char* const name : {"shows-1-a", "shows-1-b", "shows-1-c"}) {
        rows.endpoints[endpoint_id{name}] = {group_id{"shows-1"}, 100, 20, 3};
    }
    rows.services[service_id{"entries"}] = {9, std::nullopt, 2};
    rows.services[service_id{"fees"}] = {3, duration::from_ms(500), 1};
    return rows;
}

bool has_error(const std::vector<cell_error>& errors, std::string_view cell) {
    return std::any_of(errors.begin(), errors.end(),
                       [&](const cell_error& error) { return error.cell == cell; });
}

table_delta delta_of(std::vector<cell_edit> edits) {
    return {1, "id", "anna", 1, std::move(edits)};
}

}  // namespace

// Guards against reporting only the first error, so that an operator must correct cell by cell.
TEST_CASE("validation reports all invalid cells at once") {
    table rows = sample();
    rows.endpoints[endpoint_id{"shows-1-a"}].read_weight = 1001;
    rows.endpoints[endpoint_id{"shows-1-b"}].slots = 0;
    rows.endpoints[endpoint_id{"shows-1-c"}].group = group_id{"unknown"};
    rows.groups[group_id{"shows-1"}].max_age = duration::from_ms(3'600'001);
    rows.services[service_id{"fees"}].share = 0;
    const auto errors = validate(rows);
    CHECK(errors.size() == 5);
    CHECK(has_error(errors, "endpoint/shows-1-a.read_weight"));
    CHECK(has_error(errors, "endpoint/shows-1-b.slots"));
    CHECK(has_error(errors, "endpoint/shows-1-c.group"));
    CHECK(has_error(errors, "group/shows-1.max_age_ms"));
    CHECK(has_error(errors, "service/fees.share"));
    CHECK(validate(sample()).empty());
}

// Guards against an endpoint without a connection for a service, whose reads would starve there.
TEST_CASE("a service needs a connection for each endpoint of the largest group") {
    table rows = sample();
    rows.services[service_id{"fees"}].max_connections = 2;
    CHECK(has_error(validate(rows), "service/fees.max_connections"));
}

// Guards against overwriting a value that the operator has not seen.
TEST_CASE("an edit applies only if the cells have the expected values") {
    const auto applied = apply(sample(), delta_of({{"endpoint/shows-1-a.read_weight", "100", "7"},
                                                   {"endpoint/shows-1-b.slots", "9", "4"}}));
    CHECK_FALSE(applied.result);
    REQUIRE(applied.conflicts.size() == 1);
    CHECK(applied.conflicts[0].cell == "endpoint/shows-1-b.slots");
    CHECK(applied.conflicts[0].expected == "9");
    CHECK(applied.conflicts[0].present == "3");
}

TEST_CASE("row edits add and remove rows") {
    const auto added = apply(sample(), delta_of({{"endpoint/x", "absent", "exists"},
                                                 {"endpoint/x.group", "", "shows-1"},
                                                 {"endpoint/shows-1-a", "exists", "absent"}}));
    REQUIRE(added.result);
    CHECK(cell_value(*added.result, "endpoint/x.group") == "shows-1");
    CHECK(cell_value(*added.result, "endpoint/shows-1-a") == "absent");
}

// Guards against parsing a number differently from what the operator wrote.
TEST_CASE("edits with unknown cells, malformed numbers or duplicate cells are rejected") {
    for (const cell_edit& edit :
         std::vector<cell_edit>{{"endpoint/shows-1-a.share", "", "1"},
                                {"endpoint/shows-1-a.slots", "3", "007"},
                                {"endpoint/shows-1-a.slots", "3", "-1"},
                                {"endpoint/shows-1-a.slots", "3", "4294967297"},
                                {"endpoint/missing.slots", "", "3"},
                                {"host/a.slots", "", "3"},
                                {"group/shows-1", "exists", "maybe"},
                                {"group/shows-1.durability", "replica", "both"}}) {
        INFO(edit.cell << " " << edit.value);
        const auto applied = apply(sample(), delta_of({edit}));
        CHECK_FALSE(applied.result);
        CHECK(applied.errors.size() == 1);
    }
    const cell_edit slots{"endpoint/shows-1-a.slots", "3", "4"};
    CHECK_FALSE(apply(sample(), delta_of({slots, slots})).result);
}

TEST_CASE("a table with quotes and commas in names round-trips through CSV byte for byte") {
    const std::string text = write_table_csv(sample());
    const auto parsed = parse_table_csv(text);
    REQUIRE(parsed.rows);
    CHECK(*parsed.rows == sample());
    CHECK(write_table_csv(*parsed.rows) == text);
    CHECK(text.find("group,\"odd, \"\"name\"\"\",,,,,0,,primary\n") != std::string::npos);
}

// Guards against reading a damaged file as a smaller table, which would remove rows.
TEST_CASE("malformed CSV is rejected") {
    const std::string text = write_table_csv(sample());
    CHECK_FALSE(parse_table_csv("").rows);
    CHECK_FALSE(parse_table_csv(text.substr(5)).rows);
    CHECK_FALSE(parse_table_csv(text + "group,shows-1,,,,,0,,primary\n").rows);
    CHECK_FALSE(parse_table_csv(text + "group,x,,,,,0,,primary,9\n").rows);
    CHECK_FALSE(parse_table_csv(text + "group,\"x,,,,,0,,primary\n").rows);
    CHECK_FALSE(parse_table_csv(text + "group,x,,,5,,0,,primary\n").rows);
}

TEST_CASE("deltas, heads and snapshots round-trip through JSON") {
    const table_delta delta = delta_of({{"endpoint/a.slots", "3", "\"4\"\n"}});
    CHECK(parse_delta(write_json(delta)) == delta);
    const table_head head{1, "", {delta}};
    CHECK(parse_head(write_json(head)) == head);
    table rows = sample();
    rows.revision = 70;
    const table_snapshot snapshot{rows, {"a", "b"}};
    CHECK(parse_snapshot(write_json(snapshot)) == snapshot);
}

// Guards against building a table from a head with missing deltas.
TEST_CASE("heads with gaps and malformed values are rejected") {
    const table_delta delta = delta_of({});
    CHECK_FALSE(parse_head(write_json(table_head{2, "", {delta}})));
    CHECK_FALSE(parse_head(write_json(table_head{3, snapshot_key(1), {delta}})));
    CHECK_FALSE(parse_head(write_json(table_head{1, "table/snapshot/x", {}})));
    CHECK_FALSE(parse_head(R"({"revision":-1,"snapshot":"","deltas":[]})"));
    CHECK_FALSE(parse_delta(R"({"revision":1})"));
    CHECK_FALSE(parse_snapshot("[]"));
}

TEST_CASE("applying the difference of two tables transforms one into the other") {
    table from = sample();
    table to = sample();
    to.endpoints.erase(endpoint_id{"shows-1-c"});
    to.endpoints[endpoint_id{"shows-1-d"}] = {group_id{"shows-1"}, 0, 5, 1};
    to.services[service_id{"fees"}].max_age.reset();
    const auto applied = apply(from, {0, "id", "anna", 1, difference(from, to)});
    REQUIRE(applied.result);
    CHECK(*applied.result == to);
    CHECK(difference(to, to).empty());
}

TEST_CASE("arbitrary fields round-trip through CSV") {
    rc::check([](const std::vector<std::vector<std::string>>& generated) {
        std::vector<text_row> rows = generated;
        // An empty row and a row of one empty field are both written as an empty line.
        std::erase_if(rows, [](const text_row& row) {
            return row.empty() || (row.size() == 1 && row[0].empty());
        });
        RC_ASSERT(parse_csv(write_csv(rows)) == rows);
    });
}
