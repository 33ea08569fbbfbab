#pragma once

#include <optional>
#include <string_view>

#include "platform/wire.h"
#include "proxy/fleet_state.h"

/// Asks an endpoint for its status on a connection of its own.
namespace jasminelead::proxy {

struct status_answer {
    std::optional<platform::endpoint_status> status;
    std::string_view fault;  ///< Why there is no status.
    bool is_busy = false;    ///< The endpoint answered that it has no free slot.
};

/// Suspends the fiber. `text` is a command that is answered with the endpoint's status.
status_answer run_status_command(const fleet_state& fleet, const endpoint_id& endpoint,
                                 std::string_view text);
status_answer query_status(const fleet_state& fleet, const endpoint_id& endpoint);
/// `step` names what the status was needed for.
void log_status(const group_id& group, std::string_view step, const endpoint_id& endpoint,
                const status_answer& answer);

}  // namespace jasminelead::proxy
