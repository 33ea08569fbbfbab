#include "jasminelead/fleet_quorum.h"

namespace jasminelead {
namespace {

using namespace literals;

// After the end of its lease in the store. A process that starts again registers anew.
constexpr duration usual_patience = 700_ms;
// A few hosts that see only each other are more likely cut off than the last ones alive.
constexpr duration minority_patience = 6_s;

}  // namespace

/// A newcomer that the hosts have not heard of must find their leases ended.
bool confirms_leases(std::size_t vouched, std::size_t registered, duration store_age,
                     duration lease_length) {
    const bool is_complete = registered > 0 && vouched >= registered;
    return is_complete && store_age + lease_length < newcomer_patience;
}

bool is_unused(const stop_progress& progress) {
    const bool all_stopped = progress.registered > 0 && progress.stopped >= progress.registered;
    return all_stopped || progress.since_mark >= progress.lease_length;
}

bool may_remove_host(std::size_t live_hosts, std::size_t registered_hosts, duration lost) {
    const bool half_live = live_hosts * 2 >= registered_hosts;
    return lost >= (half_live ? usual_patience : minority_patience);
}

}  // namespace jasminelead
