#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "jasminelead/store_revision.h"
#include "jasminelead/types.h"

/// Lenient access to JSON objects: members that are missing or have another type read as absent.
namespace jasminelead::proxy {

/// Returns nothing when the text is not a JSON object. Strings may contain invalid UTF-8.
std::optional<boost::json::object> parse_object(std::string_view text);
std::optional<std::uint64_t> number_of(const boost::json::object& object, std::string_view name);
/// Adds a revision as two members: `name` as the store itself counts it, and NAME_era unless it is
/// 0. Builds that know no eras read and write the first one only.
void put_revision(boost::json::object& object, std::string_view name, revision_number revision);
std::optional<revision_number> revision_of(const boost::json::object& object,
                                           std::string_view name);
/// Adds the revisions of groups as an object, and their eras as a second one.
void put_revisions(boost::json::object& object, std::string_view name,
                   const std::map<group_id, revision_number>& revisions);
/// Returns nothing unless the member is an object of numbers.
std::optional<std::map<group_id, revision_number>> revisions_of(const boost::json::object& object,
                                                                std::string_view name);
/// Reads a member in microseconds.
std::optional<duration> duration_of(const boost::json::object& object, std::string_view name);
std::optional<std::string> text_of(const boost::json::object& object, std::string_view name);
/// Returns false when the member is missing or not a boolean.
bool flag_of(const boost::json::object& object, std::string_view name);
/// Returns null when the member is missing or not an object.
const boost::json::object* object_of(const boost::json::object& object, std::string_view name);

}  // namespace jasminelead::proxy
