#include "jasminelead/fleet_quorum.h"

namespace jasminelead {

bool confirms_leases(const vouching_round& round) {
    return is_majority(round.vouched, round.registered) && round.store_age < longest_vouching;
}

/// A host that has not stopped may have been vouched for until just before the last of them did.
bool is_unused(const stop_progress& progress) {
    if (progress.registered > 0 && progress.stopped >= progress.registered) {
        return true;
    }
    return blocks_majority(progress.stopped, progress.registered) &&
           progress.since_blocked >= progress.lease_length;
}

/// Removing hosts shrinks later majorities. Hosts that are a majority by themselves could be
/// vouching for each other.
bool may_remove_host(std::size_t live_hosts, std::size_t registered_hosts, duration lost,
                     duration patience, duration lease_length) {
    if (blocks_majority(live_hosts, registered_hosts)) {
        return lost >= patience;
    }
    return lost >= patience + longest_vouching + lease_length;
}

}  // namespace jasminelead
