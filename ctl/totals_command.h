#pragma once

#include <iosfwd>
#include <optional>
#include <string_view>
#include <vector>

#include "arguments.h"
#include "exit_code.h"
#include "store_client.h"

/// The command `totals`.
namespace jasminelead::ctl {

/// True for `YYYY-MM-DD`.
bool is_day(std::string_view text);

/// Prints the sums over the entries of all daemons. A malformed entry is reported and makes the
/// command fail, because the sums are incomplete without it.
exit_code print_totals(const arguments& values, const std::vector<store_entry>& entries,
                       std::ostream& out, std::ostream& errors);

}  // namespace jasminelead::ctl
