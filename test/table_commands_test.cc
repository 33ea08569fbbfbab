#include "ctl/table_commands.h"

#include <catch2/catch.hpp>
#include <sstream>

#include "control_simulation.h"

using namespace jasminelead;
using namespace jasminelead::ctl;
using namespace jasminelead::test;

namespace {

/// Runs commands with an in-memory store and in-memory files.
struct command_fixture {
    command_fixture() { run_edit(store, {"first", "anna", 1, first_rows()}); }

    exit_code run(std::vector<std::string> words, arguments options = {}) {
        options.positional = std::move(words);
        options.positional.insert(options.positional.begin(), "table");
        out.str("");
        errors.str("");
        const table_environment environment{
            [this](const store_request& request) {
                if (before_write && std::holds_alternative<store_cas>(request)) {
                    std::exchange(before_write, nullptr)();
                }
                return store.perform(request);
            },
            [this](const std::string& name) {
                return files.contains(name) ? std::optional{files[name]} : std::nullopt;
            },
            [this] { ++waits; },
            "edit-" + std::to_string(++edits),
            1'764'826'500'000,
            out,
            errors};
        return run_table_command(options, environment);
    }
    std::string cell(const std::string& name) {
        const auto head = parse_head(store.items["table/head"].value).value();
        return cell_value(rows_at_head(head, {}).value(), name).value_or("?");
    }
    fake_store store;
    std::map<std::string, std::string> files;
    std::function<void()> before_write;
    int waits = 0;
    int edits = 0;
    std::ostringstream out;
    std::ostringstream errors;
};

const std::string weight = "endpoint/shows-1-a.read_weight";

}  // namespace

TEST_CASE("several cells are set in one edit") {
    command_fixture s;
    REQUIRE(s.run({"set", weight + "=7", "endpoint/shows-1-a.slots=5"}) == success);
    CHECK(s.out.str() == "revision 2\n");
    CHECK(s.cell(weight) == "7");
    CHECK(s.cell("endpoint/shows-1-a.slots") == "5");
}

// Guards against exit codes that do not distinguish a conflict, an invalid value and a store
// outage.
TEST_CASE("each kind of failure has its exit code and changes nothing") {
    command_fixture s;
    arguments expecting;
    expecting.expect = "99";
    CHECK(s.run({"set", weight, "7"}, expecting) == conflict);
    CHECK(s.errors.str().find("99        100") != std::string::npos);
    CHECK(s.run({"set", weight, "7000"}) == invalid_edit);
    CHECK(s.run({"set", "endpoint/nobody.slots", "7"}) == invalid_edit);
    CHECK(s.run({"set", weight}) == usage_error);
    CHECK(s.run({"paint"}) == usage_error);
    CHECK(s.run({"import", "no-such-file"}) == failure);
    s.store.up = false;
    CHECK(s.run({"set", weight, "7"}) == unreachable);
    CHECK(s.run({"show"}) == unreachable);
    s.store.up = true;
    CHECK(s.cell(weight) == "100");
}

// Guards against a lost update when two operators edit the same cell concurrently.
TEST_CASE("an edit between the read and the write of a set is a conflict") {
    command_fixture s;
    s.before_write = [&] { run_edit(s.store, {"other", "bob", 1, {{weight, "100", "30"}}}); };
    CHECK(s.run({"set", weight, "7"}) == conflict);
    CHECK(s.cell(weight) == "30");
}

TEST_CASE("an edit is retried while the store is down and fails after the last retry") {
    command_fixture s;
    s.before_write = [&] { s.store.up = false; };
    CHECK(s.run({"set", weight, "7"}) == unreachable);
    CHECK(s.waits > 1);
    CHECK(s.errors.str().find("may have been applied") != std::string::npos);
}

TEST_CASE("edits come from a CSV file with the values that the operator saw") {
    command_fixture s;
    s.files["-"] = "cell,expected,value\n" + weight + ",100,60\nservice/fees,absent,exists\n" +
                   "service/fees.max_connections,,9\n";
    CHECK(s.run({"edit"}) == success);
    CHECK(s.cell(weight) == "60");
    CHECK(s.cell("service/fees.max_connections") == "9");
    CHECK(s.run({"edit", "-"}) == conflict);
    s.files["f"] = weight + ",60,70\n";
    CHECK(s.run({"edit", "f"}) == invalid_edit);
    s.files["f"] = "cell,expected,value\n" + weight + ",60\n";
    CHECK(s.run({"edit", "f"}) == invalid_edit);
}

TEST_CASE("an exported table can be imported again") {
    command_fixture s;
    REQUIRE(s.run({"export"}) == success);
    const std::string exported = s.out.str();
    s.files["f"] = exported;
    CHECK(s.run({"import", "f"}) == success);
    CHECK(s.out.str() == "revision 1 (nothing to change)\n");
    s.run({"set", weight, "7"});
    CHECK(s.run({"import", "f"}) == success);
    s.run({"export"});
    CHECK(s.out.str() == exported);
}

// Guards against an import that reverts edits made since the export.
TEST_CASE("an import with a base changes only what differs from the base") {
    command_fixture s;
    s.run({"export"});
    s.files["base"] = s.out.str();
    s.files["mine"] = s.out.str();
    s.files["mine"].replace(s.files["mine"].find(",20,3"), 5, ",10,3");
    s.run({"set", weight, "7"});
    arguments with_base;
    with_base.base = "base";
    CHECK(s.run({"import", "mine"}, with_base) == success);
    CHECK(s.cell(weight) == "7");
    CHECK(s.cell("endpoint/shows-1-a.max_connections") == "10");
    CHECK(s.run({"import", "mine"}, with_base) == conflict);
}

TEST_CASE("the table and its history are printed as text and as JSON") {
    command_fixture s;
    arguments options;
    options.operator_name = "bob";
    s.run({"set", weight, "7"}, options);
    REQUIRE(s.run({"show"}) == success);
    CHECK(s.out.str().find("endpoint  shows-1-a  shows-1  7 ") != std::string::npos);
    CHECK(s.out.str().find("revision 2\n") != std::string::npos);
    REQUIRE(s.run({"history"}) == success);
    CHECK(s.out.str().find("2         2025-12-04T05:35:00Z  bob") != std::string::npos);
    options.json = true;
    REQUIRE(s.run({"history"}, options) == success);
    CHECK(s.out.str().find(R"("value":"7")") != std::string::npos);
}

TEST_CASE("the first edit creates the table") {
    command_fixture s;
    s.store.items.clear();
    CHECK(s.run({"set", "group/shows-1", "exists"}) == success);
    CHECK(s.cell("group/shows-1.durability") == "replica");
}
