#pragma once

#include <span>
#include <vector>

#include "jasminelead/gateway.h"

/// Which hosts read the store for the others.
///
/// Load pattern: every host needs the records and the proof that they are current several times a
/// second, and the store's calls are few and dear. A few readers in each data centre ask the
/// store, and the other hosts follow them, so that the calls do not grow with the fleet.
namespace jasminelead {

/// Readers of the host's data centre in the order in which it asks them. Empty when the host
/// itself is to read the store.
std::vector<host_id> choose_store_readers(std::span<const host_placement> hosts,
                                          const host_placement& self);

/// Readers of all data centres.
std::vector<host_id> all_store_readers(std::span<const host_placement> hosts);

}  // namespace jasminelead
