#include "jasminelead/fleet_quorum.h"

#include "jasminelead/lease_granters.h"

namespace jasminelead {
namespace {

using namespace literals;

// Counted from the expiry of the host's lease in the store. A restarted process registers again.
constexpr duration dead_host_timeout = 700_ms;
// A minority that sees only itself is more likely to be partitioned than to be the last survivors.
constexpr duration dead_host_timeout_in_minority = 6_s;

}  // namespace

/// The leases must have expired before a new host, unknown to the confirming hosts, may replace a
/// primary.
bool can_confirm_leases_without_store(std::size_t confirming_hosts, std::size_t registered,
                                      duration store_age, duration lease_length) {
    const bool is_complete = registered > 0 && confirming_hosts >= registered;
    return is_complete && store_age + lease_length < new_host_replacement_delay;
}

bool is_primary_unused(const primary_stop_progress& progress) {
    if (progress.since_changing >= max_time_on_grants + progress.lease_length) {
        return true;
    }
    if (!progress.since_known) {
        return false;
    }
    const bool all_stopped = progress.registered > 0 && progress.stopped >= progress.registered;
    return (all_stopped && progress.knows_all_hosts) ||
           *progress.since_known >= progress.lease_length;
}

/// Load pattern: a data centre is cut off from the others, and its callers keep arriving until the
/// load balancer has seen the host not ready for some time. Hosts of the same data centre still
/// answer.
bool is_host_isolated(const contact_round& round) {
    return !round.is_store_answering && round.answered * 2 < round.asked;
}

bool may_remove_host(std::size_t live_hosts, std::size_t registered_hosts, duration lost) {
    const bool half_live = live_hosts * 2 >= registered_hosts;
    return lost >= (half_live ? dead_host_timeout : dead_host_timeout_in_minority);
}

}  // namespace jasminelead
