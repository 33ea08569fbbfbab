#pragma once

#include <memory>
#include <random>
#include <set>

#include "jasminelead/directory.h"
#include "jasminelead/invariant.h"
#include "jasminelead/table.h"
#include "jasminelead/types.h"

/// State shared by all core modules of one daemon.
namespace jasminelead {

/// Safety mechanisms. Tests disable them one at a time to show that a check detects their absence.
struct mechanisms {
    bool fencing = true;
    bool token_check = true;
    bool retry_guard = true;
    bool connection_discard = true;
    bool revision_check = true;
    bool claim = true;
};

/// Identity, configuration and fleet of one daemon. The kernel replaces `fleet` and `config`;
/// modules read them and keep no copies.
struct core_context {
    host_id self;
    data_centre_id data_centre;
    incarnation_number incarnation = 0;
    std::shared_ptr<const directory> fleet = std::make_shared<directory>();
    /// Draining daemons: no longer in `fleet`, but still releasing their claims.
    std::set<host_id> leaving;
    std::shared_ptr<const table> config;  ///< Null until the first table arrives.
    invariants* checks = nullptr;
    std::mt19937_64 random;
    mechanisms enabled;
};

}  // namespace jasminelead
