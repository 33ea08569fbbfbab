#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string_view>

#include "jasminelead/messages.h"

/// JSON encoding of the endpoint protocol; see docs/protocol.md.
namespace jasminelead {

boost::json::value to_json(const position_stamp& stamp);
boost::json::value to_json(const endpoint_state& state);
boost::json::value to_json(const control_request& request);

/// HTTP path of a control request, for example "/fence".
std::string_view path_of(const control_request& request);
std::string_view to_string(request_kind kind);
std::string_view to_string(run_status status);
std::string_view to_string(endpoint_error error);

// The parsers return nothing if a member is missing or has the wrong type.
std::optional<position_stamp> parse_stamp(const boost::json::value& value);
std::optional<endpoint_state> parse_state(const boost::json::value& value);
std::optional<control_request> parse_control(std::string_view path,
                                             const boost::json::value& value);
std::optional<request_kind> parse_request_kind(std::string_view text);
std::optional<run_status> parse_run_status(std::string_view text);
std::optional<endpoint_error> parse_endpoint_error(std::string_view text);

}  // namespace jasminelead
