#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <span>
#include <string>

#include "jasminelead/table.h"

/// Text and JSON for operators.
namespace jasminelead::ctl {

/// Lays out objects and arrays of flat objects as aligned tables with titles.
std::string to_tables(const boost::json::value& value);

/// An array of objects from rows whose first one names the members.
std::string rows_as_json(std::span<const text_row> rows);

/// "2026-12-04T05:35:00Z" from milliseconds of the wall clock.
std::string utc_time(std::int64_t wall_time_ms);

}  // namespace jasminelead::ctl
