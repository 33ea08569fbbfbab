#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <span>
#include <string>

#include "jasminelead/table.h"

/// Output of the commands as text and as JSON.
namespace jasminelead::ctl {

/// Formats objects and arrays of flat objects as aligned tables with titles.
std::string to_tables(const boost::json::value& value);

/// Formats rows as a JSON array of objects. The first row contains the member names.
std::string rows_as_json(std::span<const text_row> rows);

/// Formats milliseconds since the Unix epoch as UTC, such as "2026-12-04T05:35:00Z".
std::string utc_time(std::int64_t wall_time_ms);

}  // namespace jasminelead::ctl
