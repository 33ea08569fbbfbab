#include "jasminelead/table_cells.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace jasminelead {
namespace {

constexpr std::size_t max_name_size = 64;
constexpr std::array<std::string_view, row_kinds.size()> kind_names = {"group", "endpoint",
                                                                       "service"};
constexpr std::array<std::string_view, table_columns.size()> column_names = {
    "group", "read_weight", "max_connections", "slots", "max_age_ms", "share", "durability"};

/// Range of a numeric cell. An optional cell may be empty.
struct number_rule {
    row_kind kind;
    table_column column;
    std::uint32_t min;
    std::uint32_t max;
    bool optional;
};
constexpr std::uint32_t max_age_limit_ms = 3'600'000;
constexpr std::array number_rules = {
    number_rule{row_kind::group, table_column::max_age_ms, 0, max_age_limit_ms, false},
    number_rule{row_kind::endpoint, table_column::read_weight, 0, 1'000, false},
    number_rule{row_kind::endpoint, table_column::max_connections, 1, 1'000, false},
    number_rule{row_kind::endpoint, table_column::slots, 1, 1'000, false},
    number_rule{row_kind::service, table_column::max_connections, 1, 10'000, false},
    number_rule{row_kind::service, table_column::max_age_ms, 0, max_age_limit_ms, true},
    number_rule{row_kind::service, table_column::share, 1, 1'000, false},
};

const number_rule* rule_of(row_kind kind, table_column column) {
    const auto* const found = std::find_if(
        number_rules.begin(), number_rules.end(),
        [&](const number_rule& rule) { return rule.kind == kind && rule.column == column; });
    return found == number_rules.end() ? nullptr : &*found;
}

/// Accepts only the form that `std::to_string` writes, so that text round-trips unchanged.
std::optional<std::uint32_t> parse_number(std::string_view text) {
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool complete = error == std::errc{} && end == text.data() + text.size();
    const bool leading_zero = text.size() > 1 && text.front() == '0';
    return complete && !leading_zero ? std::optional{number} : std::nullopt;
}

std::string number_error(const number_rule& rule) {
    std::string text = "must be a whole number from " + std::to_string(rule.min) + " to " +
                       std::to_string(rule.max);
    return rule.optional ? text + " or empty" : text;
}

std::string age_text(duration age) {
    return std::to_string(static_cast<std::int64_t>(age.ms()));
}
duration parse_age(std::string_view text) {
    return duration::from_ms(parse_number(text).value_or(0));
}

std::string read(const group_row& row, table_column column) {
    if (column == table_column::max_age_ms) {
        return age_text(row.max_age);
    }
    if (column == table_column::durability) {
        return row.acknowledge == durability::replica ? "replica" : "primary";
    }
    return {};
}
std::string read(const endpoint_row& row, table_column column) {
    switch (column) {
        case table_column::group:
            return row.group.str();
        case table_column::read_weight:
            return std::to_string(row.read_weight);
        case table_column::max_connections:
            return std::to_string(row.max_connections);
        case table_column::slots:
            return std::to_string(row.slots);
        default:
            return {};
    }
}
std::string read(const service_row& row, table_column column) {
    switch (column) {
        case table_column::max_connections:
            return std::to_string(row.max_connections);
        case table_column::max_age_ms:
            return row.max_age ? age_text(*row.max_age) : std::string{};
        case table_column::share:
            return std::to_string(row.share);
        default:
            return {};
    }
}

void write(group_row& row, table_column column, std::string_view text) {
    if (column == table_column::max_age_ms) {
        row.max_age = parse_age(text);
    } else if (column == table_column::durability) {
        row.acknowledge = text == "replica" ? durability::replica : durability::primary;
    }
}
void write(endpoint_row& row, table_column column, std::string_view text) {
    const std::uint32_t number = parse_number(text).value_or(0);
    if (column == table_column::group) {
        row.group = group_id{text};
    } else if (column == table_column::read_weight) {
        row.read_weight = number;
    } else if (column == table_column::max_connections) {
        row.max_connections = number;
    } else if (column == table_column::slots) {
        row.slots = number;
    }
}
void write(service_row& row, table_column column, std::string_view text) {
    const std::uint32_t number = parse_number(text).value_or(0);
    if (column == table_column::max_connections) {
        row.max_connections = number;
    } else if (column == table_column::max_age_ms) {
        row.max_age = text.empty() ? std::nullopt : std::optional{parse_age(text)};
    } else if (column == table_column::share) {
        row.share = number;
    }
}

/// Calls `visit` with the map of the kind and the row's key in it.
template <class Table, class Visit>
auto with_rows(Table& rows, const row_name& row, Visit visit) {
    switch (row.kind) {
        case row_kind::group:
            return visit(rows.groups, group_id{row.name});
        case row_kind::endpoint:
            return visit(rows.endpoints, endpoint_id{row.name});
        default:
            return visit(rows.services, service_id{row.name});
    }
}

template <class Enum, std::size_t Size>
std::optional<Enum> value_of(const std::array<std::string_view, Size>& names,
                             std::string_view text) {
    const auto* const found = std::find(names.begin(), names.end(), text);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<Enum>(found - names.begin());
}

/// Removes the column from `name.column` and returns it. A suffix that is not a column name belongs
/// to the row name.
std::optional<table_column> split_column(std::string_view& name) {
    const std::size_t dot = name.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto column = parse_table_column(name.substr(dot + 1));
    if (column) {
        name = name.substr(0, dot);
    }
    return column;
}

}  // namespace

std::string_view to_string(row_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}
std::string_view to_string(table_column column) {
    return column_names.at(static_cast<std::size_t>(column));
}
std::optional<row_kind> parse_row_kind(std::string_view text) {
    return value_of<row_kind>(kind_names, text);
}
std::optional<table_column> parse_table_column(std::string_view text) {
    return value_of<table_column>(column_names, text);
}

std::string to_string(const cell_name& cell) {
    std::string text{to_string(cell.row.kind)};
    text += "/" + cell.row.name;
    if (cell.column) {
        text += "." + std::string{to_string(*cell.column)};
    }
    return text;
}

std::optional<cell_name> parse_cell_name(std::string_view text) {
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto kind = parse_row_kind(text.substr(0, slash));
    std::string_view name = text.substr(slash + 1);
    const auto column = split_column(name);
    if (!kind || !is_valid_row_name(name) || (column && !has_column(*kind, *column))) {
        return std::nullopt;
    }
    return cell_name{{*kind, std::string{name}}, column};
}

bool is_valid_row_name(std::string_view name) {
    const bool printable = std::all_of(name.begin(), name.end(),
                                       [](char c) { return c >= ' ' && c <= '~' && c != '/'; });
    std::string_view rest = name;
    return !name.empty() && name.size() <= max_name_size && printable && !split_column(rest);
}

bool has_column(row_kind kind, table_column column) {
    const bool is_text = (kind == row_kind::endpoint && column == table_column::group) ||
                         (kind == row_kind::group && column == table_column::durability);
    return is_text || rule_of(kind, column) != nullptr;
}

std::vector<row_name> rows_of(const table& rows) {
    std::vector<row_name> names;
    names.reserve(rows.groups.size() + rows.endpoints.size() + rows.services.size());
    for (const auto& [id, row] : rows.groups) {
        names.push_back({row_kind::group, id.str()});
    }
    for (const auto& [id, row] : rows.endpoints) {
        names.push_back({row_kind::endpoint, id.str()});
    }
    for (const auto& [id, row] : rows.services) {
        names.push_back({row_kind::service, id.str()});
    }
    return names;
}

bool has_row(const table& rows, const row_name& row) {
    return with_rows(rows, row, [](const auto& map, const auto& key) { return map.contains(key); });
}
void add_row(table& rows, const row_name& row) {
    with_rows(rows, row, [](auto& map, const auto& key) { map.try_emplace(key); });
}
void remove_row(table& rows, const row_name& row) {
    with_rows(rows, row, [](auto& map, const auto& key) { map.erase(key); });
}

std::string read_cell(const table& rows, const row_name& row, table_column column) {
    return with_rows(rows, row, [column](const auto& map, const auto& key) {
        const auto found = map.find(key);
        return found == map.end() ? std::string{} : read(found->second, column);
    });
}

std::optional<std::string> cell_text_error(row_kind kind, table_column column,
                                           std::string_view text) {
    if (const number_rule* const rule = rule_of(kind, column)) {
        if (rule->optional && text.empty()) {
            return std::nullopt;
        }
        const auto number = parse_number(text);
        const bool in_range = number && *number >= rule->min && *number <= rule->max;
        return in_range ? std::nullopt : std::optional{number_error(*rule)};
    }
    if (!has_column(kind, column)) {
        return text.empty() ? std::nullopt : std::optional<std::string>{"must be empty"};
    }
    if (column == table_column::durability) {
        const bool known = text == "replica" || text == "primary";
        return known ? std::nullopt : std::optional<std::string>{"must be replica or primary"};
    }
    return is_valid_row_name(text) ? std::nullopt : std::optional<std::string>{"must name a group"};
}

void write_cell(table& rows, const row_name& row, table_column column, std::string_view text) {
    with_rows(rows, row, [&](auto& map, const auto& key) {
        const auto found = map.find(key);
        if (found != map.end()) {
            write(found->second, column, text);
        }
    });
}

}  // namespace jasminelead
