#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "jasminelead/types.h"

namespace jasminelead::daemon {

struct settings {
    host_id host;
    data_centre_id data_centre;
    std::string listen;     ///< IP address and port.
    std::string advertise;  ///< Address in the host list; defaults to `listen`.
    std::string store;
    std::uint32_t workers = 2;
    std::vector<std::pair<std::uint8_t, std::string>> token_keys;  ///< Id and 32-byte secret.
    std::uint32_t max_client_connections = 4096;
    std::uint32_t drain_timeout_ms = 30'000;
    std::string routing_policy = "default";
    std::string failover_policy = "default";
    std::string log_level = "info";
};

/// One text per error, with the line number in the file.
using settings_errors = std::vector<std::string>;
/// Returns the value of an environment variable.
using environment = std::function<std::optional<std::string>(const char*)>;

std::optional<std::string> process_environment(const char* name);

/// Parses YAML. The environment variables JASMINELEAD_HOST, _DATA_CENTRE, _LISTEN, _ADVERTISE and
/// _STORE override the file.
std::variant<settings, settings_errors> parse_settings(const std::string& yaml,
                                                       const environment& variables);
std::variant<settings, settings_errors> load_settings(const std::string& path,
                                                      const environment& variables);

}  // namespace jasminelead::daemon
