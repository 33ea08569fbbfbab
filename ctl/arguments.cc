#include "arguments.h"

#include <cxxopts.hpp>

namespace jasminelead::ctl {
namespace {

constexpr const char* commands = R"(
Commands:
  table show                     print the table
  table set CELL VALUE           change one cell, for example endpoint/shows-1-a.read_weight 50
  table set CELL=VALUE...        change several cells in one edit
  table edit [FILE]              change the cells of a CSV file with the columns
                                 cell,expected,value (standard input without FILE)
  table export                   print the table as CSV
  table import FILE              replace the table by CSV; with --base, change only what
                                 differs from the base
  table history                  print the last edits
  status                         state of a daemon
  explain --session S            how a daemon routed the last requests of a session
  totals --day YYYY-MM-DD        requests of a UTC day by group and service
  drain                          stop a daemon after its work is finished
  switchover --group G [--to E]  move the primary of a group

A row is added or removed by setting its name, for example endpoint/shows-1-d, to exists or
absent.

Exit codes: 0 success, 1 failure, 2 usage, 3 conflict with another edit, 4 invalid edit,
5 store or daemon unreachable.
)";

cxxopts::Options make_options() {
    cxxopts::Options options{"jasminelead-ctl", "Operates a fleet of jasminelead daemons."};
    options.positional_help("COMMAND...").show_positional_help();
    auto add = options.add_options();
    const auto text = [] { return cxxopts::value<std::string>()->default_value(""); };
    add("store", "Address of the store, IP:PORT", text(), "ADDRESS");
    add("daemon", "Address of a daemon, IP:PORT", text(), "ADDRESS");
    add("operator", "Name recorded with an edit (default: $USER)", text(), "NAME");
    add("expect", "Expected current value of the cell (table set)", cxxopts::value<std::string>(),
        "OLD");
    add("base", "CSV file that the import is based on", text(), "FILE");
    add("session", "Session token (explain)", text(), "S");
    add("day", "UTC day (totals)", text(), "DAY");
    add("group", "Group (switchover)", text(), "G");
    add("to", "Endpoint that becomes primary (switchover)", text(), "E");
    add("csv", "Print CSV (totals)");
    add("json", "Print JSON");
    add("help", "Print this help");
    add("version", "Print the version");
    add("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

}  // namespace

parsed_arguments parse_arguments(int argc, const char* const* argv) {
    try {
        const cxxopts::ParseResult parsed = make_options().parse(argc, argv);
        const auto text = [&](const char* name) { return parsed[name].as<std::string>(); };
        arguments values;
        if (parsed.count("words") > 0) {
            values.positional = parsed["words"].as<std::vector<std::string>>();
        }
        if (parsed.count("expect") > 0) {
            values.expect = text("expect");
        }
        values.store = text("store");
        values.daemon = text("daemon");
        values.operator_name = text("operator");
        values.session = text("session");
        values.day = text("day");
        values.group = text("group");
        values.to = text("to");
        values.base = text("base");
        values.json = parsed.count("json") > 0;
        values.csv = parsed.count("csv") > 0;
        values.help = parsed.count("help") > 0;
        values.version = parsed.count("version") > 0;
        return {std::move(values), {}};
    } catch (const cxxopts::exceptions::exception& error) {
        return {std::nullopt, error.what()};
    }
}

std::string help_text() {
    return make_options().help() + commands;
}

}  // namespace jasminelead::ctl
