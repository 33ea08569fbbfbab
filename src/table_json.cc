#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <utility>

#include "jasminelead/table.h"

namespace jasminelead {
namespace {

namespace json = boost::json;

constexpr std::string_view snapshot_prefix = "table/snapshot/";

std::optional<json::object> parse_object(std::string_view text) {
    boost::system::error_code error;
    json::value value = json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

std::optional<std::string> text_member(const json::object& object, std::string_view name) {
    const json::value* const member = object.if_contains(name);
    if (member == nullptr || !member->is_string()) {
        return std::nullopt;
    }
    return std::string{member->get_string()};
}

std::optional<std::int64_t> number_member(const json::object& object, std::string_view name) {
    const json::value* const member = object.if_contains(name);
    if (member == nullptr || !member->is_int64() || member->get_int64() < 0) {
        return std::nullopt;
    }
    return member->get_int64();
}

/// Parses all items of an array member. Returns nothing if any item cannot be parsed.
template <class Parse>
auto list_member(const json::object& object, std::string_view name, Parse parse)
    -> std::optional<std::vector<typename decltype(parse(json::value{}))::value_type>> {
    const json::value* const member = object.if_contains(name);
    if (member == nullptr || !member->is_array()) {
        return std::nullopt;
    }
    std::vector<typename decltype(parse(json::value{}))::value_type> items;
    for (const json::value& element : member->get_array()) {
        auto item = parse(element);
        if (!item) {
            return std::nullopt;
        }
        items.push_back(std::move(*item));
    }
    return items;
}

json::object delta_object(const table_delta& delta) {
    json::array edits;
    for (const cell_edit& edit : delta.edits) {
        edits.push_back(
            json::object{{"cell", edit.cell}, {"expected", edit.expected}, {"value", edit.value}});
    }
    return {{"revision", delta.revision},      {"edit_id", delta.edit_id},
            {"operator", delta.operator_name}, {"time_ms", delta.wall_time_ms},
            {"previous", delta.previous_id},   {"edits", std::move(edits)}};
}

std::optional<cell_edit> edit_from(const json::value& value) {
    if (!value.is_object()) {
        return std::nullopt;
    }
    auto cell = text_member(value.get_object(), "cell");
    auto expected = text_member(value.get_object(), "expected");
    auto text = text_member(value.get_object(), "value");
    if (!cell || !expected || !text) {
        return std::nullopt;
    }
    return cell_edit{std::move(*cell), std::move(*expected), std::move(*text)};
}

std::optional<table_delta> delta_from(const json::value& value) {
    if (!value.is_object()) {
        return std::nullopt;
    }
    const json::object& object = value.get_object();
    const auto revision = number_member(object, "revision");
    auto edit_id = text_member(object, "edit_id");
    auto operator_name = text_member(object, "operator");
    const auto time = number_member(object, "time_ms");
    auto previous = object.contains("previous") ? text_member(object, "previous")
                                                : std::optional<std::string>{std::in_place};
    auto edits = list_member(object, "edits", edit_from);
    if (!revision || !edit_id || !operator_name || !time || !previous || !edits) {
        return std::nullopt;
    }
    return table_delta{static_cast<revision_number>(*revision),
                       std::move(*edit_id),
                       std::move(*operator_name),
                       *time,
                       std::move(*edits),
                       std::move(*previous)};
}

std::optional<std::string> string_from(const json::value& value) {
    return value.is_string() ? std::optional<std::string>{value.get_string()} : std::nullopt;
}

/// Checks that the deltas lead from the snapshot to the head without gaps.
bool is_consistent(const table_head& head) {
    const auto base = snapshot_revision(head.snapshot);
    if (!base) {
        return false;
    }
    revision_number next = *base;
    return std::all_of(head.deltas.begin(), head.deltas.end(),
                       [&](const table_delta& delta) { return delta.revision == ++next; }) &&
           next == head.revision;
}

}  // namespace

std::string snapshot_key(revision_number revision) {
    return std::string{snapshot_prefix} + std::to_string(revision);
}

std::optional<revision_number> snapshot_revision(std::string_view key) {
    if (key.empty()) {
        return 0;
    }
    if (!key.starts_with(snapshot_prefix)) {
        return std::nullopt;
    }
    const std::string_view digits = key.substr(snapshot_prefix.size());
    revision_number revision = 0;
    const char* const end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, revision);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{revision} : std::nullopt;
}

std::string write_json(const table_delta& delta) {
    return json::serialize(delta_object(delta));
}

std::string write_json(const table_head& head) {
    json::array deltas;
    for (const table_delta& delta : head.deltas) {
        deltas.push_back(delta_object(delta));
    }
    return json::serialize(json::object{
        {"revision", head.revision}, {"snapshot", head.snapshot}, {"deltas", std::move(deltas)}});
}

std::string write_json(const table_snapshot& snapshot) {
    json::array ids;
    for (const std::string& id : snapshot.edit_ids) {
        ids.emplace_back(id);
    }
    return json::serialize(json::object{{"revision", snapshot.rows.revision},
                                        {"csv", write_table_csv(snapshot.rows)},
                                        {"edit_ids", std::move(ids)}});
}

std::optional<table_delta> parse_delta(std::string_view text) {
    auto object = parse_object(text);
    return object ? delta_from(json::value(std::move(*object))) : std::nullopt;
}

std::optional<table_head> parse_head(std::string_view text) {
    const auto object = parse_object(text);
    if (!object) {
        return std::nullopt;
    }
    const auto revision = number_member(*object, "revision");
    auto snapshot = text_member(*object, "snapshot");
    auto deltas = list_member(*object, "deltas", delta_from);
    if (!revision || !snapshot || !deltas) {
        return std::nullopt;
    }
    table_head head{static_cast<revision_number>(*revision), std::move(*snapshot),
                    std::move(*deltas)};
    return is_consistent(head) ? std::optional{std::move(head)} : std::nullopt;
}

std::optional<table_snapshot> parse_snapshot(std::string_view text) {
    const auto object = parse_object(text);
    if (!object) {
        return std::nullopt;
    }
    const auto revision = number_member(*object, "revision");
    const auto csv = text_member(*object, "csv");
    auto ids = list_member(*object, "edit_ids", string_from);
    table_text parsed = csv ? parse_table_csv(*csv) : table_text{};
    if (!revision || !ids || !parsed.rows) {
        return std::nullopt;
    }
    parsed.rows->revision = static_cast<revision_number>(*revision);
    return table_snapshot{std::move(*parsed.rows), std::move(*ids)};
}

}  // namespace jasminelead
