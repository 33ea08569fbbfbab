#pragma once

#include <functional>
#include <string>
#include <vector>

#include "soak/deployment.h"

/// What the programs of the cases have in common.
namespace jasminelead::review {

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

/// False if the environment says TROUBLE=0.
bool has_trouble();

/// Data centres of a small deployment.
const std::vector<std::string>& zones();

/// Runs one case: `play` returns the exit code. The record is `FOLDER/record.txt`, FOLDER being the
/// first argument; settings and logs of the daemons go to a temporary folder, which is removed.
int run_case(int count, char** values,
             const std::function<int(const std::string& temporary_folder)>& play);

/// Writes to the record and to the standard output.
void say(const std::string& line);

}  // namespace jasminelead::review
