#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jasminelead/types.h"

/// Lenient reading of JSON objects: members that are missing or of another type are nothing.
namespace jasminelead::proxy {

/// Nothing when the text is no JSON object. Strings may hold any bytes.
std::optional<boost::json::object> parse_object(std::string_view text);
std::optional<std::uint64_t> number_of(const boost::json::object& object, std::string_view name);
/// A member in microseconds.
std::optional<duration> duration_of(const boost::json::object& object, std::string_view name);
std::optional<std::string> text_of(const boost::json::object& object, std::string_view name);
/// False when the member is missing.
bool flag_of(const boost::json::object& object, std::string_view name);
/// Null when the member is missing or no object.
const boost::json::object* object_of(const boost::json::object& object, std::string_view name);

}  // namespace jasminelead::proxy
