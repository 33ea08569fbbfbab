#include "proxy/mark_messages.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "proxy/json_fields.h"

namespace jasminelead::proxy {
namespace {

namespace json = boost::json;

std::optional<aged_mark> decode_mark(const json::value& value) {
    const json::object* const object = value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    const auto group = text_of(*object, "group");
    const auto age = duration_of(*object, "age_us");
    const auto term = number_of(*object, "term");
    const auto position = number_of(*object, "position");
    const auto leadership = revision_of(*object, "leadership");
    if (!group || !age || !term || !position || !leadership) {
        return std::nullopt;
    }
    return aged_mark{group_id{*group}, *age, {*term, *position}, *leadership};
}

}  // namespace

std::string encode_mark_request(const std::set<group_id>& groups) {
    json::array names;
    for (const group_id& group : groups) {
        names.emplace_back(group.str());
    }
    return json::serialize(json::object{{"groups", std::move(names)}});
}

std::optional<std::set<group_id>> decode_mark_request(std::string_view text) {
    const auto object = parse_object(text);
    const json::value* const names = object ? object->if_contains("groups") : nullptr;
    if (names == nullptr || !names->is_array()) {
        return std::nullopt;
    }
    std::set<group_id> groups;
    for (const json::value& name : names->get_array()) {
        if (!name.is_string()) {
            return std::nullopt;
        }
        groups.emplace(std::string{name.get_string()});
    }
    return groups;
}

std::string encode_mark_response(const std::vector<aged_mark>& marks) {
    json::array rows;
    for (const aged_mark& mark : marks) {
        json::object row{{"group", mark.group.str()},
                         {"age_us", mark.age.us()},
                         {"term", mark.point.term},
                         {"position", mark.point.position}};
        put_revision(row, "leadership", mark.leadership);
        rows.push_back(std::move(row));
    }
    return json::serialize(json::object{{"marks", std::move(rows)}});
}

std::optional<std::vector<aged_mark>> decode_mark_response(std::string_view text) {
    const auto object = parse_object(text);
    const json::value* const rows = object ? object->if_contains("marks") : nullptr;
    if (rows == nullptr || !rows->is_array()) {
        return std::nullopt;
    }
    std::vector<aged_mark> marks;
    for (const json::value& row : rows->get_array()) {
        auto mark = decode_mark(row);
        if (!mark) {
            return std::nullopt;
        }
        marks.push_back(std::move(*mark));
    }
    return marks;
}

}  // namespace jasminelead::proxy
