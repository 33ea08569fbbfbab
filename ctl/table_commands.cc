#include "table_commands.h"

#include <ostream>

#include "printing.h"

namespace jasminelead::ctl {
namespace {

/// The current table and its head, or the reason why they could not be loaded.
struct loaded_table {
    std::optional<table> rows;
    table_head head;
    exit_code code = success;
    std::string error;
};

loaded_table load(const table_environment& environment) {
    loaded_table loaded;
    const store_result found = environment.store(store_get{std::string{head_key}});
    if (found.status == store_status::missing) {
        loaded.rows = table{};
        return loaded;
    }
    if (found.status != store_status::ok) {
        return {{}, {}, unreachable, "the store does not answer"};
    }
    auto head = parse_head(found.value);
    if (!head) {
        return {{}, {}, failure, "the value of table/head in the store is malformed"};
    }
    loaded.head = std::move(*head);
    table base;
    if (!loaded.head.snapshot.empty()) {
        const store_result stored = environment.store(store_get{loaded.head.snapshot});
        if (stored.status == store_status::unavailable) {
            return {{}, {}, unreachable, "the store does not answer"};
        }
        const auto snapshot = parse_snapshot(stored.value);
        if (!snapshot) {
            return {
                {},
                {},
                failure,
                "the snapshot " + loaded.head.snapshot + " in the store is missing or malformed"};
        }
        base = snapshot->rows;
    }
    loaded.rows = rows_at_head(loaded.head, base);
    if (!loaded.rows) {
        return {{}, {}, failure, "the deltas in table/head do not apply to their snapshot"};
    }
    return loaded;
}

exit_code report(const table_environment& environment, exit_code code, const std::string& text) {
    environment.errors << "jasminelead-ctl: " << text << "\n";
    return code;
}

exit_code report_cells(const table_environment& environment,
                       const std::vector<cell_error>& errors) {
    for (const cell_error& error : errors) {
        environment.errors << error.cell << ": " << error.text << "\n";
    }
    return report(environment, invalid_edit, "the edit is not valid; nothing was changed");
}

exit_code report_conflicts(const table_environment& environment,
                           const std::vector<cell_conflict>& cells) {
    std::vector<text_row> rows = {{"cell", "expected", "present"}};
    for (const cell_conflict& cell : cells) {
        rows.push_back({cell.cell, cell.expected, cell.present});
    }
    environment.errors << aligned_text(rows);
    return report(environment, conflict, "another edit changed these cells; nothing was changed");
}

exit_code report_outcome(const arguments& values, const table_environment& environment,
                         const edit_outcome& outcome) {
    if (const auto* const applied = std::get_if<edit_applied>(&outcome)) {
        if (values.json) {
            environment.out << R"({"revision":)" << applied->revision << R"(,"changed":)"
                            << (applied->changed ? "true" : "false") << "}\n";
        } else {
            environment.out << "revision " << applied->revision
                            << (applied->changed ? "" : " (nothing to change)") << "\n";
        }
        return success;
    }
    if (const auto* const conflicted = std::get_if<edit_conflicted>(&outcome)) {
        return report_conflicts(environment, conflicted->cells);
    }
    if (const auto* const invalid = std::get_if<edit_invalid>(&outcome)) {
        return report_cells(environment, invalid->cells);
    }
    const auto& failed = std::get<edit_failed>(outcome);
    const std::string effect = failed.may_be_applied
                                   ? "; the edit may have been applied, see table history"
                                   : "; nothing was changed";
    return report(environment, failed.unreachable ? unreachable : failure, failed.why + effect);
}

exit_code apply_edits(const arguments& values, const table_environment& environment,
                      std::vector<cell_edit> edits) {
    table_edit edit{
        {environment.edit_id, values.operator_name, environment.wall_time_ms, std::move(edits)}};
    edit_step step = edit.start();
    while (const auto* const call = std::get_if<store_request>(&step)) {
        const store_result result = environment.store(*call);
        if (result.status == store_status::unavailable) {
            environment.wait();
        }
        step = edit.on_result(result);
    }
    return report_outcome(values, environment, std::get<edit_outcome>(step));
}

/// Parses `set CELL VALUE` or `set CELL=VALUE...`. The expected values stay empty.
std::optional<std::vector<cell_edit>> parse_set(const std::vector<std::string>& words) {
    std::vector<cell_edit> edits;
    if (words.size() == 2 && words[0].find('=') == std::string::npos) {
        edits.push_back({words[0], "", words[1]});
        return edits;
    }
    for (const std::string& word : words) {
        // Names may contain an equals sign, values cannot.
        const std::size_t equals = word.rfind('=');
        if (equals == std::string::npos) {
            return std::nullopt;
        }
        edits.push_back({word.substr(0, equals), "", word.substr(equals + 1)});
    }
    return edits.empty() ? std::nullopt : std::optional{std::move(edits)};
}

exit_code set_cells(const arguments& values, const table_environment& environment,
                    const std::vector<std::string>& operands) {
    auto edits = parse_set(operands);
    if (!edits || (values.expect && edits->size() != 1)) {
        return report(environment, usage_error,
                      "usage: table set CELL VALUE [--expect OLD] or table set CELL=VALUE...");
    }
    const loaded_table loaded = load(environment);
    if (!loaded.rows) {
        return report(environment, loaded.code, loaded.error);
    }
    for (cell_edit& edit : *edits) {
        edit.expected = values.expect.value_or(cell_value(*loaded.rows, edit.cell).value_or(""));
    }
    return apply_edits(values, environment, std::move(*edits));
}

exit_code edit_cells(const arguments& values, const table_environment& environment,
                     const std::vector<std::string>& operands) {
    const auto text = environment.read_file(operands.empty() ? "-" : operands[0]);
    if (!text) {
        return report(environment, failure,
                      "the file " + (operands.empty() ? "-" : operands[0]) + " cannot be read");
    }
    const text_row header = {"cell", "expected", "value"};
    const auto lines = parse_csv(*text);
    if (!lines || lines->empty() || lines->front() != header) {
        return report(environment, invalid_edit,
                      "the file must be CSV that begins with cell,expected,value");
    }
    std::vector<cell_edit> edits;
    for (std::size_t i = 1; i < lines->size(); ++i) {
        const text_row& line = (*lines)[i];
        if (line.size() != header.size()) {
            return report(environment, invalid_edit,
                          "line " + std::to_string(i + 1) + " does not have three fields");
        }
        edits.push_back({line[0], line[1], line[2]});
    }
    return apply_edits(values, environment, std::move(edits));
}

exit_code import_table(const arguments& values, const table_environment& environment,
                       const std::vector<std::string>& operands) {
    if (operands.size() != 1) {
        return report(environment, usage_error, "usage: table import FILE [--base FILE]");
    }
    std::vector<table> tables;
    for (const std::string& name : {operands[0], values.base}) {
        if (name.empty()) {
            continue;
        }
        const auto text = environment.read_file(name);
        if (!text) {
            return report(environment, failure, "the file " + name + " cannot be read");
        }
        table_text parsed = parse_table_csv(*text);
        if (!parsed.rows) {
            return report_cells(environment, parsed.errors);
        }
        tables.push_back(std::move(*parsed.rows));
    }
    if (tables.size() == 1) {
        loaded_table loaded = load(environment);
        if (!loaded.rows) {
            return report(environment, loaded.code, loaded.error);
        }
        tables.push_back(std::move(*loaded.rows));
    }
    return apply_edits(values, environment, difference(tables[1], tables[0]));
}

std::vector<text_row> history_rows(const table_head& head) {
    std::vector<text_row> rows = {
        {"revision", "time", "operator", "edit_id", "cell", "expected", "value"}};
    for (const table_delta& delta : head.deltas) {
        for (const cell_edit& edit : delta.edits) {
            rows.push_back({std::to_string(delta.revision), utc_time(delta.wall_time_ms),
                            delta.operator_name, delta.edit_id, edit.cell, edit.expected,
                            edit.value});
        }
    }
    return rows;
}

exit_code print_table(const arguments& values, const table_environment& environment,
                      const std::string& command) {
    const loaded_table loaded = load(environment);
    if (!loaded.rows) {
        return report(environment, loaded.code, loaded.error);
    }
    if (command == "export") {
        environment.out << write_table_csv(*loaded.rows);
        return success;
    }
    const bool history = command == "history";
    const auto rows = history ? history_rows(loaded.head) : text_rows(*loaded.rows);
    if (values.json) {
        environment.out << rows_as_json(rows);
        return success;
    }
    environment.out << aligned_text(rows);
    if (!history) {
        environment.out << "revision " << loaded.rows->revision << "\n";
    }
    return success;
}

}  // namespace

exit_code run_table_command(const arguments& values, const table_environment& environment) {
    const std::string command = values.positional.size() > 1 ? values.positional[1] : "";
    const std::vector<std::string> operands{
        values.positional.begin() + (values.positional.size() > 1 ? 2 : 1),
        values.positional.end()};
    if (command == "set") {
        return set_cells(values, environment, operands);
    }
    if (command == "edit" && operands.size() <= 1) {
        return edit_cells(values, environment, operands);
    }
    if (command == "import") {
        return import_table(values, environment, operands);
    }
    const bool prints = command == "show" || command == "export" || command == "history";
    if (prints && operands.empty()) {
        return print_table(values, environment, command);
    }
    return report(environment, usage_error,
                  "usage: table show|set|edit|import|export|history; see --help");
}

}  // namespace jasminelead::ctl
