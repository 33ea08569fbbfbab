#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminelead/account.h"
#include "jasminelead/read_selector.h"
#include "jasminelead/types.h"

/// Settings of a daemon that serves sessions.
namespace jasminelead::proxy {

struct settings {
    host_id host;
    data_centre_id data_centre;
    double cpu_share = 1;            ///< CPU cores available to the daemon.
    std::string listen;              ///< Address for callers, IP address and port.
    std::string readiness;           ///< Address of the readiness page.
    std::string address;             ///< IP address of the host.
    std::uint16_t metrics_port = 0;  ///< Port on `address`; 0 disables the page.
    std::string peer;                ///< Address for other daemons, IP address and port.
    std::string peer_advertised;     ///< Address at which other hosts reach `peer`; empty: `peer`.
    std::vector<std::string> seeds;  ///< Addresses of daemons to contact while no peer is known.
    std::string store;
    std::string promotion;  ///< Address of the promotion service; empty if there is none.
    duration stop_grace = duration::from_ms(6000);  ///< Time from SIGTERM to SIGKILL.
    key_trust trust{false, duration::from_ms(5000)};
    read_balance balance = read_balance::lowest_cost;
    limit_tolerance tolerance;  ///< How far accounts may exceed their limits.
    std::string log_level = "info";
};

/// The address that other hosts use for this host's peer interface.
const std::string& advertised_peer_address(const settings& options);

/// One message per error.
using settings_errors = std::vector<std::string>;

std::variant<settings, settings_errors> parse_settings(const std::string& yaml);
std::variant<settings, settings_errors> load_settings(const std::string& path);

}  // namespace jasminelead::proxy
