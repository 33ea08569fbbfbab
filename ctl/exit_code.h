#pragma once

/// Exit codes of jasminelead-ctl.
namespace jasminelead::ctl {

enum exit_code : int {
    success = 0,
    failure = 1,
    usage_error = 2,
    conflict = 3,
    invalid_edit = 4,
    unreachable = 5,
};

}  // namespace jasminelead::ctl
