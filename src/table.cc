#include "jasminelead/table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "jasminelead/table_cells.h"

namespace jasminelead {
namespace {

using error_list = std::vector<cell_error>;

void check_cells(const table& rows, const row_name& row, error_list& errors) {
    if (!is_valid_row_name(row.name)) {
        errors.push_back({to_string(cell_name{row, {}}),
                          "a name has 1 to 64 printable characters without / and "
                          "does not end in .column"});
    }
    for (const table_column column : table_columns) {
        const std::string text = read_cell(rows, row, column);
        if (auto error = cell_text_error(row.kind, column, text)) {
            errors.push_back({to_string(cell_name{row, column}), std::move(*error)});
        }
    }
}

void check_groups(const table& rows, error_list& errors) {
    for (const auto& [id, row] : rows.endpoints) {
        if (!row.group.empty() && !rows.groups.contains(row.group)) {
            errors.push_back(
                {"endpoint/" + id.str() + ".group", "there is no row group/" + row.group.str()});
        }
    }
}

struct group_size {
    group_id group;
    std::uint32_t endpoints = 0;
};

group_size largest_group(const table& rows) {
    std::map<group_id, std::uint32_t> sizes;
    for (const auto& [id, row] : rows.endpoints) {
        ++sizes[row.group];
    }
    group_size largest;
    for (const auto& [group, size] : sizes) {
        if (size > largest.endpoints) {
            largest = {group, size};
        }
    }
    return largest;
}

/// A service needs at least one connection to each endpoint of a group; see
/// service_connection_share.
void check_services(const table& rows, error_list& errors) {
    const group_size largest = largest_group(rows);
    for (const auto& [id, row] : rows.services) {
        if (row.max_connections != 0 && row.max_connections < largest.endpoints) {
            errors.push_back({"service/" + id.str() + ".max_connections",
                              "must be at least " + std::to_string(largest.endpoints) +
                                  ", the number of endpoints of group " + largest.group.str()});
        }
    }
}

std::string present_value(const table& rows, const cell_name& cell) {
    if (cell.column) {
        return read_cell(rows, cell.row, *cell.column);
    }
    return std::string{has_row(rows, cell.row) ? row_exists : row_absent};
}

void edit_row(table& rows, const cell_name& cell, const cell_edit& edit, error_list& errors) {
    if (edit.value == row_exists) {
        add_row(rows, cell.row);
    } else if (edit.value == row_absent) {
        remove_row(rows, cell.row);
    } else {
        errors.push_back({edit.cell, "must be exists or absent"});
    }
}

void edit_cell(table& rows, const cell_name& cell, const cell_edit& edit, error_list& errors) {
    if (!has_row(rows, cell.row)) {
        errors.push_back({edit.cell, "there is no row " + to_string(cell_name{cell.row, {}})});
        return;
    }
    if (auto error = cell_text_error(cell.row.kind, *cell.column, edit.value)) {
        errors.push_back({edit.cell, std::move(*error)});
        return;
    }
    write_cell(rows, cell.row, *cell.column, edit.value);
}

void append_row_difference(const table& from, const table& to, const row_name& row,
                           std::vector<cell_edit>& edits) {
    if (!has_row(from, row)) {
        edits.push_back(
            {to_string(cell_name{row, {}}), std::string{row_absent}, std::string{row_exists}});
    }
    for (const table_column column : table_columns) {
        std::string before = read_cell(from, row, column);
        std::string after = read_cell(to, row, column);
        if (before != after) {
            edits.push_back(
                {to_string(cell_name{row, column}), std::move(before), std::move(after)});
        }
    }
}

}  // namespace

std::uint32_t service_connection_share(const service_row& service, std::size_t index,
                                       std::size_t endpoints) {
    if (endpoints == 0) {
        return 0;
    }
    const auto count = static_cast<std::uint32_t>(endpoints);
    const std::uint32_t base = service.max_connections / count;
    const std::uint32_t remainder = service.max_connections % count;
    return base + (index < remainder ? 1 : 0);
}

std::optional<std::string> cell_value(const table& rows, std::string_view cell) {
    const auto name = parse_cell_name(cell);
    return name ? std::optional{present_value(rows, *name)} : std::nullopt;
}

std::vector<cell_error> validate(const table& rows) {
    error_list errors;
    for (const row_name& row : rows_of(rows)) {
        check_cells(rows, row, errors);
    }
    check_groups(rows, errors);
    check_services(rows, errors);
    return errors;
}

apply_result apply(const table& rows, const table_delta& delta) {
    apply_result outcome;
    table edited = rows;
    edited.revision = delta.revision;
    std::set<std::string_view> seen;
    for (const cell_edit& edit : delta.edits) {
        const auto cell = parse_cell_name(edit.cell);
        if (!cell) {
            outcome.errors.push_back({edit.cell, "is not a valid cell or row name"});
            continue;
        }
        if (!seen.insert(edit.cell).second) {
            outcome.errors.push_back({edit.cell, "appears more than once in the edit"});
            continue;
        }
        std::string present = present_value(rows, *cell);
        if (present != edit.expected) {
            outcome.conflicts.push_back({edit.cell, edit.expected, std::move(present)});
        } else if (cell->column) {
            edit_cell(edited, *cell, edit, outcome.errors);
        } else {
            edit_row(edited, *cell, edit, outcome.errors);
        }
    }
    if (outcome.conflicts.empty() && outcome.errors.empty()) {
        outcome.result = std::move(edited);
    }
    return outcome;
}

std::vector<cell_edit> difference(const table& from, const table& to) {
    std::vector<cell_edit> edits;
    for (const row_name& row : rows_of(from)) {
        if (!has_row(to, row)) {
            edits.push_back(
                {to_string(cell_name{row, {}}), std::string{row_exists}, std::string{row_absent}});
        }
    }
    for (const row_name& row : rows_of(to)) {
        append_row_difference(from, to, row, edits);
    }
    return edits;
}

}  // namespace jasminelead
