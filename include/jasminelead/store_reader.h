#pragma once

#include <span>
#include <vector>

#include "jasminelead/gateway.h"

/// Selects the hosts that read the store on behalf of the others.
///
/// Load pattern: every host needs the records and a confirmation that they are current several
/// times a second, but calls to the store are limited and expensive. A few readers in each data
/// centre query the store, and the other hosts query the readers, so that the number of calls does
/// not grow with the fleet.
namespace jasminelead {

/// Readers of the host's data centre in the order in which `self` tries them. Empty if `self` is a
/// reader.
std::vector<host_id> choose_store_readers(std::span<const host_placement> hosts,
                                          const host_placement& self);

/// Readers of all data centres.
std::vector<host_id> all_store_readers(std::span<const host_placement> hosts);

}  // namespace jasminelead
