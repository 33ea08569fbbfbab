#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "endpoint_model.h"

namespace jasminelead::support {

struct endpoint_settings {
    endpoint_entry entry;  ///< The endpoint listens on `address`.
    endpoint_role role = endpoint_role::replica;
    endpoint_id primary;  ///< The initial primary.
    endpoint_limits limits;
    std::map<endpoint_id, std::string> peers;  ///< Addresses of the group's other instances.
    std::int64_t connect_delay_ms = 10;
    std::int64_t replication_interval_ms = 2;
};

/// Serves the endpoint protocol of docs/protocol.md until the process ends. After
/// `POST /admin/silence` the open database connections no longer respond; new ones work.
[[noreturn]] void serve_endpoint(const endpoint_settings& settings);

}  // namespace jasminelead::support
