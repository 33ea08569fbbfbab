#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "jasminelead/account_limit.h"
#include "jasminelead/gateway.h"
#include "jasminelead/lease_granters.h"
#include "jasminelead/store_revision.h"
#include "jasminelead/types.h"

/// Keeps the limits of accounts over all hosts without one place that counts everything.
///
/// A few hosts each own a fixed share of every limit (`share_ownership`). They lend it for a short
/// time (`share_lender`) to the hosts that count an account's operations, one in each data centre
/// (`account_limiter`). Shares sum to at most 1 at every moment, and tokens are moved with them and
/// never copied, so that all hosts together pass at most rate x time + capacity.
namespace jasminelead {

/// How long a borrower may use a loan after it has sent its request.
inline constexpr duration share_loan_length = duration::from_ms(1000);
/// A lender counts a loan for this much longer, for clocks of different speed.
inline constexpr duration share_loan_margin = duration::from_ms(50);

/// A part of one account's limit, and of the tokens that belong to it.
struct share_loan {
    double share = 0;
    double tokens = 0;
};

/// What a borrower says of an account.
struct loan_request {
    account_id account;
    double demand_per_s = 0;
};

/// A host that counts operations.
struct share_borrower {
    host_id host;
    data_centre_id data_centre;
};

/// Lends the shares that this host owns.
class share_lender {
public:
    /// The share of every limit that this host owns from now on.
    void set_owned(double share, instant now);
    [[nodiscard]] double owned() const { return m_owned; }
    /// Number of data centres in which accounts are counted.
    void set_data_centres(std::size_t count) { m_data_centres = count; }
    /// A loan for a request that has just arrived. It replaces the borrower's last one, and shares
    /// are divided between borrowers by their demand.
    share_loan lend(const loan_request& request, const share_borrower& borrower,
                    const bucket_limit& limit, instant now);
    /// Forgets accounts without loans whose tokens are complete.
    void prune(instant now);

    /// Share of the account that is lent, and tokens that are not.
    [[nodiscard]] double lent(const account_id& account, instant now) const;
    [[nodiscard]] double tokens(const account_id& account) const;

private:
    struct obligation {
        double share = 0;
        instant until;
    };
    struct borrower_state {
        std::vector<obligation> loans;
        double demand_per_s = 0;
        data_centre_id data_centre;
        instant asked_at;
    };
    struct account_state {
        std::map<host_id, borrower_state> borrowers;
        bucket_limit limit;
        double level = 0;
        instant refilled_at;
    };

    static double lent_to(const borrower_state& borrower, instant now);
    static double total_lent(const account_state& state, instant now);
    void refill(account_state& state, instant now) const;
    account_state& state_of(const account_id& account, const bucket_limit& limit, instant now);
    [[nodiscard]] double weight_of_borrower(const account_state& state, const host_id& borrower,
                                            instant now) const;

    double m_owned = 0;
    std::size_t m_data_centres = 1;
    instant m_owned_since;
    std::map<account_id, account_state> m_accounts;
};

/// Counts operations of accounts against the shares that this host has borrowed.
class account_limiter {
public:
    struct decision {
        std::uint32_t granted = 0;
        duration retry_after;  ///< Until the next operation may be granted, if not all were.
    };

    /// `sent`: when this host sent the request that the loan answers. Older answers than the last
    /// one are ignored.
    void on_loan(const account_id& account, const host_id& lender, const share_loan& loan,
                 const bucket_limit& limit, instant sent, instant now);
    decision take(const account_id& account, const bucket_limit& limit, std::uint32_t wanted,
                  instant now);
    /// True if the host has no share of the account.
    [[nodiscard]] bool needs_loans(const account_id& account, instant now) const;
    /// Accounts whose operations are counted here, with their recent demand.
    [[nodiscard]] std::vector<loan_request> wanted_loans(instant now) const;
    /// Forgets accounts that nobody has asked for.
    void prune(instant now);

    [[nodiscard]] double share(const account_id& account, instant now) const;
    [[nodiscard]] double tokens(const account_id& account) const;

private:
    struct borrowed {
        double share = 0;
        instant until;
        instant sent;
    };
    struct account_state {
        std::map<host_id, borrowed> loans;
        double level = 0;
        instant settled_at;
        double demand_per_s = 0;
        instant demand_at;
        instant asked_at;
    };

    static double share_of(const account_state& state, instant now);
    static void settle(account_state& state, const bucket_limit& limit, instant now);
    static void record_demand(account_state& state, std::uint32_t wanted, instant now);

    std::map<account_id, account_state> m_accounts;
};

/// Which share of every limit a host owns. The granters that the store names own equal shares.
/// A share passes to another host only when its former owner and all who borrowed from it must
/// have stopped using it.
class share_ownership {
public:
    explicit share_ownership(host_id self) : m_self{std::move(self)} {}

    /// Call when the granters or the era may have changed. `era`: the newest known era.
    void update(const granter_set& granters, store_era era, instant now);
    /// `record_age`: time since the store last confirmed the known granters.
    [[nodiscard]] double share(duration record_age, instant now) const;

private:
    host_id m_self;
    granter_set m_known;
    bool m_has_known = false;
    bool m_is_owner = false;
    instant m_usable_from;
    std::size_t m_earlier_size = 0;  ///< Counts until `m_earlier_until`.
    instant m_earlier_until;
};

/// The owners in the order in which hosts of the data centre ask them to count an account. Hosts
/// with more processor time count more accounts.
std::vector<host_id> order_limiters(const account_id& account,
                                    std::span<const host_placement> owners,
                                    const data_centre_id& data_centre);

}  // namespace jasminelead
