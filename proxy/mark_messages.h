#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelead/read_bounds.h"

/// What hosts tell each other of the logs of primaries.
namespace jasminelead::proxy {

/// A mark without a clock: hosts share none.
struct aged_mark {
    group_id group;
    duration age;  ///< Since the mark's `sent`, when the answer was made.
    log_point point;
    revision_number leadership = 0;
};

std::string encode_mark_request(const std::set<group_id>& groups);
std::optional<std::set<group_id>> decode_mark_request(std::string_view text);
std::string encode_mark_response(const std::vector<aged_mark>& marks);
std::optional<std::vector<aged_mark>> decode_mark_response(std::string_view text);

}  // namespace jasminelead::proxy
