#include "printing.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <ctime>

namespace jasminelead::ctl {
namespace {

namespace json = boost::json;

bool is_scalar(const json::value& value) {
    return !value.is_object() && !value.is_array();
}

std::string cell_text(const json::value& value) {
    if (value.is_null()) {
        return "-";
    }
    return value.is_string() ? std::string{value.get_string()} : json::serialize(value);
}

bool is_list_of_objects(const json::value& value) {
    const json::array* const items = value.if_array();
    return items != nullptr && !items->empty() &&
           std::all_of(items->begin(), items->end(),
                       [](const json::value& item) { return item.is_object(); });
}

/// Formats one line per object. The cells of missing members stay empty.
std::string list_text(const json::array& items) {
    text_row header;
    for (const json::value& item : items) {
        for (const auto& member : item.get_object()) {
            const std::string name{member.key()};
            if (std::find(header.begin(), header.end(), name) == header.end()) {
                header.push_back(name);
            }
        }
    }
    std::vector<text_row> rows = {header};
    for (const json::value& item : items) {
        text_row row;
        for (const std::string& name : header) {
            const json::value* const member = item.get_object().if_contains(name);
            row.push_back(member == nullptr ? "" : cell_text(*member));
        }
        rows.push_back(std::move(row));
    }
    return aligned_text(rows);
}

std::string section(const std::string& title, const std::string& body) {
    return title.empty() ? body : "\n" + title + "\n" + body;
}

std::string object_text(const json::object& object, const std::string& title);

std::string member_text(const std::string& title, const json::value& value) {
    if (value.is_object()) {
        return object_text(value.get_object(), title);
    }
    return section(title, list_text(value.get_array()));
}

std::string object_text(const json::object& object, const std::string& title) {
    std::vector<text_row> scalars;
    std::string nested;
    for (const auto& member : object) {
        const std::string name{member.key()};
        if (member.value().is_object() || is_list_of_objects(member.value())) {
            nested += member_text(title.empty() ? name : title + "." + name, member.value());
        } else {
            scalars.push_back({name, cell_text(member.value())});
        }
    }
    return section(scalars.empty() ? "" : title, aligned_text(scalars)) + nested;
}

}  // namespace

std::string to_tables(const json::value& value) {
    if (is_scalar(value) || (value.is_array() && !is_list_of_objects(value))) {
        return cell_text(value) + "\n";
    }
    return member_text("", value);
}

std::string rows_as_json(std::span<const text_row> rows) {
    json::array items;
    for (std::size_t i = 1; i < rows.size(); ++i) {
        json::object item;
        for (std::size_t column = 0; column < rows[i].size(); ++column) {
            item[rows[0][column]] = rows[i][column];
        }
        items.push_back(std::move(item));
    }
    return json::serialize(items) + "\n";
}

std::string utc_time(std::int64_t wall_time_ms) {
    constexpr std::int64_t ms_per_s = 1000;
    constexpr std::size_t max_text = 32;
    const std::time_t seconds = wall_time_ms / ms_per_s;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, max_text> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), size};
}

}  // namespace jasminelead::ctl
