#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "endpoint_model.h"

namespace jasminelead::support {

struct endpoint_settings {
    endpoint_entry entry;  ///< `address` is where the endpoint listens.
    endpoint_role role = endpoint_role::replica;
    endpoint_id primary;  ///< The primary at the start.
    endpoint_limits limits;
    std::map<endpoint_id, std::string> peers;  ///< Addresses of the group's other instances.
    std::int64_t connect_delay_ms = 10;
    std::int64_t replication_interval_ms = 2;
};

/// Serves the endpoint protocol of docs/protocol.md until the process ends. `POST /admin/silence`
/// makes all database connections that are open silent; new ones work.
[[noreturn]] void serve_endpoint(const endpoint_settings& settings);

}  // namespace jasminelead::support
