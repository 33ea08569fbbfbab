#pragma once

#include <cstddef>
#include <optional>

#include "jasminelead/types.h"

/// Quorum rules for using and replacing a primary.
///
/// While the store is unavailable, a host keeps its primary leases as long as every registered host
/// confirms that it is not replacing a primary, or a quorum of granters confirms them
/// (lease_granters.h). A host that replaces a primary stops confirming, so that the leases of hosts
/// that ask all others expire within one lease length. This requires that the others know the host;
/// a new host therefore replaces no primary until the others have discovered it.
namespace jasminelead {

/// True if `part` of `whole` hosts is a majority.
constexpr bool is_majority(std::size_t part, std::size_t whole) {
    return part * 2 > whole;
}

/// Time for which a new host must not replace a primary.
inline constexpr duration new_host_replacement_delay = duration::from_ms(8000);

/// True if confirmations from the hosts, including this one, can replace those of the store, whose
/// last answer is `store_age` old.
bool can_confirm_leases_without_store(std::size_t confirming_hosts, std::size_t registered,
                                      duration store_age, duration lease_length);

/// State of a replacement that waits until no host uses the old primary.
struct primary_stop_progress {
    std::size_t registered = 0;
    std::size_t stopped = 0;  ///< Hosts that no longer use the primary, itself included.
    /// All hosts that may use the primary are among the registered ones.
    bool knows_all_hosts = true;
    /// Time since a replacement quorum of the granters acknowledged the mark, so that no host has
    /// had its lease confirmed without learning of the mark; empty before.
    std::optional<duration> since_known;
    duration since_changing;  ///< Time since this host has known that the primary is replaced.
    duration lease_length;
};

/// True if no host can be using the primary any more.
bool is_primary_unused(const primary_stop_progress& progress);

/// What a host sees of the store and the fleet in one round of requests.
struct contact_round {
    bool is_store_answering = true;
    std::size_t asked = 0;     ///< Hosts that were asked.
    std::size_t answered = 0;  ///< Hosts that answered in time.
};

/// True if the host rather than the store is cut off, so that callers are served sooner by another.
bool is_host_isolated(const contact_round& round);

/// True if the registration of a host that has been unresponsive for `lost` may be removed.
bool may_remove_host(std::size_t live_hosts, std::size_t registered_hosts, duration lost);

}  // namespace jasminelead
