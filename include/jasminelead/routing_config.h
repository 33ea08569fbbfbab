#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelead/account.h"
#include "jasminelead/types.h"

/// Routes from databases to groups, set by operators, with increasing versions.
namespace jasminelead {

/// Which endpoints may answer the reads of a route.
enum class read_policy { primary, bounded_stale, read_your_writes };

struct database_route {
    std::string database;  ///< Database name that callers use.
    group_id group;
    read_policy policy = read_policy::primary;
    duration statement_timeout;
    duration latency_goal;       ///< Latency target of a whole operation.
    std::uint32_t priority = 0;  ///< 0 is the highest.
    duration max_stale;          ///< Unused by policy `primary`.
    bool is_public = false;      ///< Callers need no key.
};

struct group_limits {
    std::uint32_t max_connections = 1;  ///< To one endpoint, for all daemons together.
    bool synchronous = false;           ///< A commit is acknowledged once one replica has it.
};

struct routing_config {
    revision_number version = 0;
    std::map<std::string, database_route, std::less<>> routes;  ///< By database.
    std::map<group_id, group_limits> groups;
    account_directory accounts;  ///< Empty when callers need no keys at all.
    duration transaction_idle_limit;

    [[nodiscard]] const database_route* find(std::string_view database) const;
    [[nodiscard]] std::uint32_t max_connections(const group_id& group) const;
    /// The caller of a session on the route; nothing if the route needs a key that no account has.
    [[nodiscard]] std::optional<caller_identity> authenticate(const database_route& route,
                                                              const key_digest& key) const;
    /// True if the caller may still be served. A newer version than this one may have authenticated
    /// it with a key that this one does not know.
    [[nodiscard]] bool still_admits(const authenticated_caller& caller) const;
};

/// Holds the configuration with the highest version offered so far.
class config_holder {
public:
    /// Returns false if the version is not higher than the current one.
    bool offer(std::shared_ptr<const routing_config> config);
    /// Null before the first configuration.
    [[nodiscard]] const std::shared_ptr<const routing_config>& current() const { return m_current; }
    [[nodiscard]] revision_number version() const { return m_current ? m_current->version : 0; }

private:
    std::shared_ptr<const routing_config> m_current;
};

}  // namespace jasminelead
