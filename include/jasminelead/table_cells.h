#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelead/table.h"

/// Text access to the cells of a table by row kind, row name and column.
namespace jasminelead {

enum class row_kind : std::uint8_t { group, endpoint, service };
inline constexpr std::array row_kinds = {row_kind::group, row_kind::endpoint, row_kind::service};

enum class table_column : std::uint8_t {
    group,
    read_weight,
    max_connections,
    slots,
    max_age_ms,
    share,
    durability
};
inline constexpr std::array table_columns = {
    table_column::group,      table_column::read_weight, table_column::max_connections,
    table_column::slots,      table_column::max_age_ms,  table_column::share,
    table_column::durability,
};

std::string_view to_string(row_kind kind);
std::string_view to_string(table_column column);
std::optional<row_kind> parse_row_kind(std::string_view text);
std::optional<table_column> parse_table_column(std::string_view text);

struct row_name {
    row_kind kind = row_kind::group;
    std::string name;
    bool operator==(const row_name&) const = default;
};
/// Names a cell, or a row if there is no column.
struct cell_name {
    row_name row;
    std::optional<table_column> column;
};

std::string to_string(const cell_name& cell);
std::optional<cell_name> parse_cell_name(std::string_view text);

/// A valid name has 1 to 64 printable ASCII characters other than `/` and does not end in a dot
/// and a column name, which would make it ambiguous with the name of a cell.
bool is_valid_row_name(std::string_view name);
bool has_column(row_kind kind, table_column column);

/// Returns the names of all rows: groups, endpoints and services, each sorted by name.
std::vector<row_name> rows_of(const table& rows);
bool has_row(const table& rows, const row_name& row);
void add_row(table& rows, const row_name& row);
void remove_row(table& rows, const row_name& row);

/// Returns the text of a cell; empty if the row or the column does not exist.
std::string read_cell(const table& rows, const row_name& row, table_column column);
/// Returns why the text is invalid in the column, or nothing if it is valid.
std::optional<std::string> cell_text_error(row_kind kind, table_column column,
                                           std::string_view text);
/// Sets a cell of an existing row. The text must be one that `cell_text_error` accepts.
void write_cell(table& rows, const row_name& row, table_column column, std::string_view text);

}  // namespace jasminelead
