#include "jasminelead/table_edit.h"

#include <catch2/catch.hpp>

#include "control_simulation.h"

using namespace jasminelead;
using namespace jasminelead::test;

namespace {

constexpr const char* weight = "endpoint/shows-1-a.read_weight";

edit_request request(const std::string& id, const std::string& from, const std::string& to) {
    return {id, "anna", 1, {{weight, from, to}}};
}

fake_store store_with_rows() {
    fake_store store;
    const auto outcome = run_edit(store, {"first", "anna", 1, first_rows()});
    REQUIRE(std::get<edit_applied>(outcome).revision == 1);
    return store;
}

table_head head_of(const fake_store& store) {
    return parse_head(store.items.at("table/head").value).value();
}

template <class Expected>
Expected outcome_of(const edit_step& step) {
    return std::get<Expected>(std::get<edit_outcome>(step));
}

}  // namespace

// Guards against the second of two operators overwriting the first one's edit.
TEST_CASE("the second of two concurrent edits of a cell gets a conflict with both values") {
    fake_store store = store_with_rows();
    table_edit slow{request("slow", "100", "50")};
    edit_step step = slow.start();
    step = slow.on_result(store.perform(std::get<store_request>(step)));
    REQUIRE(std::holds_alternative<edit_applied>(run_edit(store, request("fast", "100", "70"))));
    while (std::holds_alternative<store_request>(step)) {
        step = slow.on_result(store.perform(std::get<store_request>(step)));
    }
    const auto conflict = outcome_of<edit_conflicted>(step);
    REQUIRE(conflict.cells.size() == 1);
    CHECK(conflict.cells[0].cell == weight);
    CHECK(conflict.cells[0].expected == "100");
    CHECK(conflict.cells[0].present == "70");
    CHECK(head_of(store).revision == 2);
}

TEST_CASE("concurrent edits of different cells both succeed") {
    fake_store store = store_with_rows();
    table_edit slow{{"slow", "bob", 1, {{"endpoint/shows-1-a.slots", "3", "4"}}}};
    edit_step step = slow.start();
    step = slow.on_result(store.perform(std::get<store_request>(step)));
    run_edit(store, request("fast", "100", "70"));
    while (std::holds_alternative<store_request>(step)) {
        step = slow.on_result(store.perform(std::get<store_request>(step)));
    }
    CHECK(outcome_of<edit_applied>(step).revision == 3);
}

// Guards against applying an edit twice or reporting that it conflicts with itself.
TEST_CASE("an applied edit whose answer was lost is found by its id") {
    fake_store store = store_with_rows();
    table_edit edit{request("lost", "100", "50")};
    edit_step step = edit.start();
    step = edit.on_result(store.perform(std::get<store_request>(step)));
    store.perform(std::get<store_request>(step));
    step = edit.on_result({});
    const bool compacted = GENERATE(false, true);
    if (compacted) {
        for (int i = 0; i < 64; ++i) {
            run_edit(store, request("later-" + std::to_string(i), std::to_string(50 + i),
                                    std::to_string(51 + i)));
        }
        CHECK_FALSE(head_of(store).snapshot.empty());
    }
    while (std::holds_alternative<store_request>(step)) {
        step = edit.on_result(store.perform(std::get<store_request>(step)));
    }
    CHECK(outcome_of<edit_applied>(step).revision == 2);
}

// Guards against reporting success or failure when the result is unknown.
TEST_CASE("an edit whose id is no longer stored is reported as possibly applied") {
    fake_store store = store_with_rows();
    table_edit edit{request("lost", "100", "50")};
    edit_step step = edit.start();
    step = edit.on_result(store.perform(std::get<store_request>(step)));
    store.perform(std::get<store_request>(step));
    step = edit.on_result({});
    for (int i = 0; i < 200; ++i) {
        run_edit(store, request("later-" + std::to_string(i), std::to_string(50 + i),
                                std::to_string(51 + i)));
    }
    while (std::holds_alternative<store_request>(step)) {
        step = edit.on_result(store.perform(std::get<store_request>(step)));
    }
    CHECK(outcome_of<edit_failed>(step).may_be_applied);
}

// Guards against a head that grows beyond the size of a value in the store.
TEST_CASE("the 65th delta writes a snapshot first") {
    fake_store store = store_with_rows();
    for (int i = 0; i < 63; ++i) {
        run_edit(store, request("e" + std::to_string(i), std::to_string(100 + i),
                                std::to_string(101 + i)));
    }
    CHECK(head_of(store).deltas.size() == 64);
    CHECK(head_of(store).snapshot.empty());
    run_edit(store, request("e63", "163", "164"));
    CHECK(head_of(store).snapshot == "table/snapshot/64");
    CHECK(head_of(store).deltas.size() == 1);
    const auto snapshot = parse_snapshot(store.items.at("table/snapshot/64").value);
    REQUIRE(snapshot);
    CHECK(cell_value(snapshot->rows, weight) == "163");
}

// Guards against a concurrent creation of the table that replaces another operator's rows.
TEST_CASE("the first table is created only if there is none") {
    fake_store store;
    table_edit edit{{"second", "bob", 1, first_rows()}};
    edit_step step = edit.start();
    step = edit.on_result(store.perform(std::get<store_request>(step)));
    run_edit(store, {"first", "anna", 1, first_rows()});
    while (std::holds_alternative<store_request>(step)) {
        step = edit.on_result(store.perform(std::get<store_request>(step)));
    }
    CHECK(outcome_of<edit_conflicted>(step).cells.size() == 3);
    CHECK(head_of(store).revision == 1);
}

TEST_CASE("an edit that would make the table invalid changes nothing") {
    fake_store store = store_with_rows();
    const auto outcome = run_edit(store, request("bad", "100", "5000"));
    CHECK(std::get<edit_invalid>(outcome).cells.at(0).cell == weight);
    CHECK(head_of(store).revision == 1);
}

// Guards against a command that hangs or reports a failed edit as applied while the store is down.
TEST_CASE("an edit gives up when the store stays down") {
    fake_store store;
    store.up = false;
    const auto outcome = run_edit(store, request("e", "100", "1"));
    CHECK_FALSE(std::get<edit_failed>(outcome).may_be_applied);
    CHECK(store.calls <= 20);
}
