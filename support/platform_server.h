#pragma once

#include <string_view>

namespace jasminelead::support {

/// Serves the store and the host list of docs/protocol.md until the process ends. `hosts_json` is
/// the initial response to `GET /hosts`; `POST /admin/hosts` replaces it, and
/// `POST /admin/available` with `{"available": false}` makes all calls outside `/admin` fail.
[[noreturn]] void serve_platform(std::string_view address, std::string_view hosts_json);

}  // namespace jasminelead::support
