#include "proxy/json_fields.h"

#include <boost/json/parse.hpp>
#include <utility>

namespace jasminelead::proxy {

namespace json = boost::json;
namespace {

// Whole numbers up to this one have an exact representation as double.
constexpr double max_exact_double = 9007199254740992.0;

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
