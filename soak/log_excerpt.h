#pragma once

#include <string>
#include <vector>

#include "soak/judge.h"

namespace jasminelead::soak {

/// Writes the lines of the record and of the daemons' logs around the first violation of ONE of
/// each service, in one order of time, to `excerpt-SERVICE.txt`.
void write_excerpts(const std::string& folder, const std::vector<violation>& found);

}  // namespace jasminelead::soak
