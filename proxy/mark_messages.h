#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelead/read_bounds.h"

/// Messages in which hosts exchange positions in the logs of primaries.
namespace jasminelead::proxy {

/// A mark with an age instead of a time, because the clocks of hosts are not synchronized.
struct aged_mark {
    group_id group;
    duration age;  ///< Time from the mark's `sent` to the response.
    log_point point;
    revision_number leadership = 0;
};

std::string encode_mark_request(const std::set<group_id>& groups);
std::optional<std::set<group_id>> decode_mark_request(std::string_view text);
std::string encode_mark_response(const std::vector<aged_mark>& marks);
std::optional<std::vector<aged_mark>> decode_mark_response(std::string_view text);

}  // namespace jasminelead::proxy
