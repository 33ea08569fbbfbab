#include "jasminelead/fleet_quorum.h"

namespace jasminelead {
namespace {

using namespace literals;

// After the end of its lease in the store. A process that starts again registers anew.
constexpr duration dead_host_timeout = 700_ms;
// A few hosts that see only each other are more likely cut off than the last ones alive.
constexpr duration dead_host_timeout_in_minority = 6_s;

}  // namespace

/// A newcomer that the hosts have not heard of must find their leases ended.
bool can_confirm_leases_without_store(std::size_t confirming_hosts, std::size_t registered,
                                      duration store_age, duration lease_length) {
    const bool is_complete = registered > 0 && confirming_hosts >= registered;
    return is_complete && store_age + lease_length < new_host_replacement_delay;
}

bool is_primary_unused(const primary_stop_progress& progress) {
    const bool all_stopped = progress.registered > 0 && progress.stopped >= progress.registered;
    return all_stopped || progress.since_change_recorded >= progress.lease_length;
}

bool may_remove_host(std::size_t live_hosts, std::size_t registered_hosts, duration lost) {
    const bool half_live = live_hosts * 2 >= registered_hosts;
    return lost >= (half_live ? dead_host_timeout : dead_host_timeout_in_minority);
}

}  // namespace jasminelead
