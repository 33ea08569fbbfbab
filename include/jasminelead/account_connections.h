#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>

#include "jasminelead/types.h"

/// Decides which account may open a connection to an endpoint, and which idle connection of another
/// account is closed to make room for it.
///
/// Load pattern: many accounts of unequal size share a few connections. A connection serves one
/// account only, and opening one occupies a slot of the endpoint. Without limits, the burst of one
/// account closes the connections of all others, which then reopen theirs while the endpoint is
/// already busy.
namespace jasminelead {

/// A connection that can be closed.
struct idle_connection {
    connection_id id = 0;
    account_id account;
    instant idle_since;
};

/// Accounts to which a host's connections to one endpoint belong.
class account_connections {
public:
    /// An account's statement was queued. Those that come together count once: a burst says little
    /// about how soon a connection is used again.
    void on_request(const account_id& account, instant now);
    void on_opened(const account_id& account) { ++m_accounts[account].connections; }
    void on_closed(const account_id& account);

    /// Open and opening connections of the account.
    [[nodiscard]] std::uint32_t count(const account_id& account) const;
    /// Number of connections up to which the account may take those of others, of `limit` in total:
    /// its share of the recent requests, at least one, and at most half.
    [[nodiscard]] std::uint32_t entitled(const account_id& account, std::uint32_t limit,
                                         instant now) const;
    /// The connection to close for a new one of the account; nothing if the account has to wait.
    [[nodiscard]] std::optional<connection_id> choose_evicted(const account_id& account,
                                                              std::span<const idle_connection> idle,
                                                              std::uint32_t limit,
                                                              instant now) const;
    /// Drops accounts without connections or recent requests.
    void forget_inactive(instant now);
    [[nodiscard]] std::size_t known_accounts() const { return m_accounts.size(); }

    /// A connection that stays idle for this long may be closed by any account: reopening it this
    /// rarely costs little.
    static constexpr duration reuse_horizon = duration::from_ms(2000);

private:
    struct account_use {
        std::uint32_t connections = 0;
        double requests = 0;  ///< Decaying count of recent requests, as of `updated`.
        instant updated;
    };

    [[nodiscard]] static double recent_requests(const account_use& use, instant now);
    [[nodiscard]] double recent_requests(const account_id& account, instant now) const;
    /// Expected reuse of one of the account's connections.
    [[nodiscard]] double requests_per_connection(const account_id& account, instant now) const;

    std::map<account_id, account_use> m_accounts;
};

}  // namespace jasminelead
