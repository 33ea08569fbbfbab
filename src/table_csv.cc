#include <algorithm>
#include <utility>

#include "jasminelead/table.h"
#include "jasminelead/table_cells.h"

namespace jasminelead {
namespace {

constexpr std::size_t leading_columns = 2;  // kind and name
constexpr std::size_t row_size = leading_columns + table_columns.size();

text_row header_row() {
    text_row header = {"kind", "name"};
    for (const table_column column : table_columns) {
        header.emplace_back(to_string(column));
    }
    return header;
}

std::string quoted(const std::string& field) {
    if (field.find_first_of(",\"\r\n") == std::string::npos) {
        return field;
    }
    std::string text = "\"";
    for (const char c : field) {
        text += c == '"' ? std::string{"\"\""} : std::string{c};
    }
    return text + "\"";
}

/// Splits RFC 4180 text into fields.
class csv_reader {
public:
    explicit csv_reader(std::string_view text) : m_rest{text} {}

    std::optional<std::vector<text_row>> read() {
        std::vector<text_row> rows;
        while (!m_rest.empty()) {
            text_row row;
            do {
                auto field = read_field();
                if (!field) {
                    return std::nullopt;
                }
                row.push_back(std::move(*field));
            } while (skip(","));
            if (!m_rest.empty() && !skip("\r\n") && !skip("\n")) {
                return std::nullopt;
            }
            rows.push_back(std::move(row));
        }
        return rows;
    }

private:
    bool skip(std::string_view text) {
        if (!m_rest.starts_with(text)) {
            return false;
        }
        m_rest.remove_prefix(text.size());
        return true;
    }
    std::optional<std::string> read_field() {
        if (skip("\"")) {
            return read_quoted();
        }
        const std::size_t size = std::min(m_rest.find_first_of(",\"\r\n"), m_rest.size());
        std::string field{m_rest.substr(0, size)};
        m_rest.remove_prefix(size);
        return field;
    }
    std::optional<std::string> read_quoted() {
        std::string field;
        while (!m_rest.empty()) {
            if (skip("\"\"")) {
                field += '"';
            } else if (skip("\"")) {
                return field;
            } else {
                field += m_rest.front();
                m_rest.remove_prefix(1);
            }
        }
        return std::nullopt;
    }
    std::string_view m_rest;
};

void parse_row(const text_row& fields, std::size_t line, table_text& text) {
    const std::string place = "line " + std::to_string(line);
    const auto kind = fields.empty() ? std::nullopt : parse_row_kind(fields[0]);
    if (!kind || fields.size() != row_size || !is_valid_row_name(fields[1])) {
        text.errors.push_back({place, "must have a kind, a valid name and " +
                                          std::to_string(table_columns.size()) + " cells"});
        return;
    }
    const row_name row{*kind, fields[1]};
    if (has_row(*text.rows, row)) {
        text.errors.push_back(
            {to_string(cell_name{row, {}}), "is a duplicate row (" + place + ")"});
        return;
    }
    add_row(*text.rows, row);
    for (std::size_t i = 0; i < table_columns.size(); ++i) {
        const std::string& field = fields[leading_columns + i];
        if (auto error = cell_text_error(*kind, table_columns.at(i), field)) {
            text.errors.push_back({to_string(cell_name{row, table_columns.at(i)}), *error});
        } else {
            write_cell(*text.rows, row, table_columns.at(i), field);
        }
    }
}

}  // namespace

std::optional<std::vector<text_row>> parse_csv(std::string_view text) {
    return csv_reader{text}.read();
}

std::string write_csv(std::span<const text_row> rows) {
    std::string text;
    for (const text_row& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            text += (i == 0 ? "" : ",") + quoted(row[i]);
        }
        text += "\n";
    }
    return text;
}

std::vector<text_row> text_rows(const table& rows) {
    std::vector<text_row> lines = {header_row()};
    for (const row_name& row : rows_of(rows)) {
        text_row line = {std::string{to_string(row.kind)}, row.name};
        for (const table_column column : table_columns) {
            line.push_back(read_cell(rows, row, column));
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

table_text parse_rows(std::span<const text_row> lines) {
    table_text text;
    text.rows = table{};
    if (lines.empty() || lines.front() != header_row()) {
        const std::vector<text_row> header = {header_row()};
        text.errors.push_back({"line 1", "must be " + write_csv(header)});
        text.errors.back().text.pop_back();
    } else {
        for (std::size_t i = 1; i < lines.size(); ++i) {
            parse_row(lines[i], i + 1, text);
        }
    }
    if (!text.errors.empty()) {
        text.rows.reset();
    }
    return text;
}

table_text parse_table_csv(std::string_view text) {
    const auto lines = parse_csv(text);
    if (!lines) {
        return {std::nullopt, {{"file", "has a misplaced quote"}}};
    }
    return parse_rows(*lines);
}

std::string write_table_csv(const table& rows) {
    return write_csv(text_rows(rows));
}

std::string aligned_text(std::span<const text_row> rows) {
    std::vector<std::size_t> widths;
    for (const text_row& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const text_row& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

}  // namespace jasminelead
