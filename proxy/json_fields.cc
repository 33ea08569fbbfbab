#include "proxy/json_fields.h"

#include <boost/json/parse.hpp>
#include <utility>

namespace jasminelead::proxy {

namespace json = boost::json;
namespace {

// Whole numbers up to this one have an exact representation as double.
constexpr double max_exact_double = 9007199254740992.0;

std::string era_name(std::string_view name) {
    return std::string{name}.append("_era");
}

}  // namespace

std::optional<json::object> parse_object(std::string_view text) {
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    boost::system::error_code error;
    json::value value = json::parse(text, error, {}, options);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

/// The conversion of a double above the exact range could be undefined.
std::optional<std::uint64_t> number_of(const json::object& object, std::string_view name) {
    const json::value* const value = object.if_contains(name);
    if (value == nullptr || (value->is_double() && value->get_double() > max_exact_double)) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error) {
        return std::nullopt;
    }
    return number;
}

void put_revision(json::object& object, std::string_view name, revision_number revision) {
    object.emplace(name, revision_within_era(revision));
    if (era_of(revision) != 0) {
        object.emplace(era_name(name), era_of(revision));
    }
}

std::optional<revision_number> revision_of(const json::object& object, std::string_view name) {
    const auto revision = number_of(object, name);
    const store_era era = number_of(object, era_name(name)).value_or(0);
    return revision ? std::optional{revision_in_era(era, *revision)} : std::nullopt;
}

void put_revisions(json::object& object, std::string_view name,
                   const std::map<group_id, revision_number>& revisions) {
    json::object within_era;
    json::object eras;
    for (const auto& [group, revision] : revisions) {
        within_era.emplace(group.str(), revision_within_era(revision));
        if (era_of(revision) != 0) {
            eras.emplace(group.str(), era_of(revision));
        }
    }
    object.emplace(name, std::move(within_era));
    if (!eras.empty()) {
        object.emplace(era_name(name), std::move(eras));
    }
}

std::optional<std::map<group_id, revision_number>> revisions_of(const json::object& object,
                                                                std::string_view name) {
    const json::object* const within_era = object_of(object, name);
    if (within_era == nullptr) {
        return std::nullopt;
    }
    const json::object* const eras = object_of(object, era_name(name));
    std::map<group_id, revision_number> revisions;
    for (const auto& member : *within_era) {
        const std::string group{member.key()};
        const auto revision = number_of(*within_era, group);
        if (!revision) {
            return std::nullopt;
        }
        const store_era era = eras == nullptr ? 0 : number_of(*eras, group).value_or(0);
        revisions[group_id{group}] = revision_in_era(era, *revision);
    }
    return revisions;
}

/// Values above `duration::max()` read as absent, because sums with them could overflow.
std::optional<duration> duration_of(const json::object& object, std::string_view name) {
    const auto number = number_of(object, name);
    if (!number || *number > static_cast<std::uint64_t>(duration::max().us())) {
        return std::nullopt;
    }
    return duration::from_us(static_cast<std::int64_t>(*number));
}

std::optional<std::string> text_of(const json::object& object, std::string_view name) {
    const json::value* const value = object.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        return std::nullopt;
    }
    return std::string{value->get_string()};
}

bool flag_of(const json::object& object, std::string_view name) {
    const json::value* const value = object.if_contains(name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

const json::object* object_of(const json::object& object, std::string_view name) {
    const json::value* const value = object.if_contains(name);
    return value == nullptr ? nullptr : value->if_object();
}

}  // namespace jasminelead::proxy
