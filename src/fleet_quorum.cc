#include "jasminelead/fleet_quorum.h"

namespace jasminelead {

bool confirms_leases(const vouching_round& round) {
    return is_majority(round.vouched, round.registered) && round.store_age < longest_vouching;
}

/// A host that has not stopped may have been vouched for until just before the majority stopped.
bool is_unused(const stop_progress& progress) {
    if (progress.registered > 0 && progress.stopped >= progress.registered) {
        return true;
    }
    return is_majority(progress.stopped, progress.registered) &&
           progress.since_majority >= progress.lease_length;
}

/// Removing hosts shrinks later majorities. Without a majority, the hosts to be removed could be
/// vouching for each other.
bool may_remove_host(std::size_t live_hosts, std::size_t registered_hosts, duration lost,
                     duration patience, duration lease_length) {
    if (is_majority(live_hosts, registered_hosts)) {
        return lost >= patience;
    }
    return lost >= patience + longest_vouching + lease_length;
}

}  // namespace jasminelead
