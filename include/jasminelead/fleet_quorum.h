#pragma once

#include <cstddef>

#include "jasminelead/types.h"

/// How many hosts have to agree before one may rely on a primary or replace it.
///
/// While the store is away, a host relies on a primary as long as every registered host vouches
/// that it replaces none. A host that replaces a primary stops vouching, so that the leases of all
/// others end within the length of a lease. It has to be among the hosts that the others ask: a
/// host that is new to the fleet replaces no primary until the others have learnt of it.
namespace jasminelead {

/// True when `part` of `whole` hosts is a majority.
constexpr bool is_majority(std::size_t part, std::size_t whole) {
    return part * 2 > whole;
}

/// A host that is new to the fleet replaces no primary for this long.
inline constexpr duration new_host_replacement_delay = duration::from_ms(8000);

/// True when the words of the hosts, the own one included, stand for an answer of the store that
/// was last heard `store_age` ago.
bool can_confirm_leases_without_store(std::size_t confirming_hosts, std::size_t registered,
                                      duration store_age, duration lease_length);

/// Progress of a host that waits until nobody relies on a primary that it replaces.
struct primary_stop_progress {
    std::size_t registered = 0;
    std::size_t stopped = 0;         ///< Hosts that no longer use the primary, itself included.
    duration since_change_recorded;  ///< Since the store holds the mark of the replacement.
    duration lease_length;
};

/// True when no host can rely on the primary any more.
bool is_primary_unused(const primary_stop_progress& progress);

/// Whether the registration of a host without a sign of life for `lost` may be removed.
bool may_remove_host(std::size_t live_hosts, std::size_t registered_hosts, duration lost);

}  // namespace jasminelead
