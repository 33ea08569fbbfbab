#pragma once

#include <string_view>

namespace jasminelead::support {

/// Serves the store and the host list of docs/protocol.md until the process ends. `hosts_json` is
/// the first answer to `GET /hosts`; `POST /admin/hosts` replaces it, and `POST /admin/available`
/// with `{"available": false}` makes all other calls fail.
[[noreturn]] void serve_platform(std::string_view address, std::string_view hosts_json);

}  // namespace jasminelead::support
