#pragma once

#include <iosfwd>

#include "arguments.h"
#include "exit_code.h"
#include "http_client.h"

/// The commands that call a daemon: `status`, `explain`, `drain` and `switchover`.
namespace jasminelead::ctl {

exit_code run_daemon_command(const arguments& values, http_client client, std::ostream& out,
                             std::ostream& errors);

}  // namespace jasminelead::ctl
