#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelead/table.h"

/// The cells of a table as text, by kind, name and column.
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
/// A cell, or a whole row when there is no column.
struct cell_name {
    row_name row;
    std::optional<table_column> column;
};

std::string to_string(const cell_name& cell);
std::optional<cell_name> parse_cell_name(std::string_view text);

/// Names have 1 to 64 printable characters without `/` and do not end like the name of a cell.
bool is_valid_row_name(std::string_view name);
bool has_column(row_kind kind, table_column column);

/// All rows: groups, endpoints and services, each in order of names.
std::vector<row_name> rows_of(const table& rows);
bool has_row(const table& rows, const row_name& row);
void add_row(table& rows, const row_name& row);
void remove_row(table& rows, const row_name& row);

/// The text of a cell; empty when the row or the column is absent.
std::string read_cell(const table& rows, const row_name& row, table_column column);
/// Why a cell cannot hold the text; nothing when it can.
std::optional<std::string> cell_text_error(row_kind kind, table_column column,
                                           std::string_view text);
/// Writes a text that `cell_text_error` accepts into an existing row.
void write_cell(table& rows, const row_name& row, table_column column, std::string_view text);

}  // namespace jasminelead
