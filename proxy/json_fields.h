#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jasminelead/types.h"

/// Lenient access to JSON objects: members that are missing or have another type read as absent.
namespace jasminelead::proxy {

/// Returns nothing when the text is not a JSON object. Strings may contain invalid UTF-8.
std::optional<boost::json::object> parse_object(std::string_view text);
std::optional<std::uint64_t> number_of(const boost::json::object& object, std::string_view name);
/// Reads a member in microseconds.
std::optional<duration> duration_of(const boost::json::object& object, std::string_view name);
std::optional<std::string> text_of(const boost::json::object& object, std::string_view name);
/// Returns false when the member is missing or not a boolean.
bool flag_of(const boost::json::object& object, std::string_view name);
/// Returns null when the member is missing or not an object.
const boost::json::object* object_of(const boost::json::object& object, std::string_view name);

}  // namespace jasminelead::proxy
