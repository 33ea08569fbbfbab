#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "arguments.h"
#include "exit_code.h"
#include "jasminelead/table.h"
#include "jasminelead/table_edit.h"

/// The commands `table show|set|edit|import|export|history`.
namespace jasminelead::ctl {

using store_function = std::function<store_result(const store_request&)>;

/// The environment of a command; tests replace it.
struct table_environment {
    store_function store;
    /// Reads a file, or standard input for the name `-`. Returns nullopt when it cannot be read.
    std::function<std::optional<std::string>(const std::string&)> read_file;
    /// Waits before the retry of a call that the store did not answer.
    std::function<void()> wait;
    std::string edit_id;  ///< Unique for each run of the program.
    std::int64_t wall_time_ms = 0;
    std::ostream& out;
    std::ostream& errors;
};

exit_code run_table_command(const arguments& values, const table_environment& environment);

}  // namespace jasminelead::ctl
