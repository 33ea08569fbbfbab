#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminelead/types.h"

/// Settings of a daemon that serves sessions.
namespace jasminelead::proxy {

struct settings {
    host_id host;
    data_centre_id data_centre;
    double cpu_share = 1;            ///< Cores that the host has for the daemon.
    std::string listen;              ///< Address for callers, IP address and port.
    std::string readiness;           ///< Address of the readiness page.
    std::string address;             ///< IP address of the host.
    std::uint16_t metrics_port = 0;  ///< On `address`; 0 for none.
    std::string peer;                ///< Address for the other daemons, IP address and port.
    std::vector<std::string> seeds;  ///< Addresses of daemons to ask while none is known.
    std::string store;
    std::string promotion;  ///< Address that takes promotions; empty when there is none.
    duration stop_grace = duration::from_ms(6000);  ///< From SIGTERM to SIGKILL.
    std::string log_level = "info";
};

/// One line for each error.
using settings_errors = std::vector<std::string>;

std::variant<settings, settings_errors> parse_settings(const std::string& yaml);
std::variant<settings, settings_errors> load_settings(const std::string& path);

}  // namespace jasminelead::proxy
