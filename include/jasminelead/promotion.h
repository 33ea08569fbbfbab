#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "jasminelead/primary_lease.h"
#include "jasminelead/types.h"

/// Tells when a promotion has taken effect and when another endpoint may be promoted.
///
/// The platform executes promotions without checking their order, at times after the caller has
/// given up. Endpoints know only their own history: a former primary keeps its role and its term
/// until it has learned of its successor.
namespace jasminelead {

/// Role and term as an endpoint reports them itself.
struct reported_role {
    endpoint_role role = endpoint_role::replica;
    term_number term = 0;
};

/// True if the endpoint leads its group, which can be led in `lowest` or a later term.
constexpr bool leads(const reported_role& reported, term_number lowest) {
    return reported.role == endpoint_role::primary && reported.term >= lowest;
}

/// Lowest term in which an endpoint can lead the group. `newest` is the newest term that is known.
term_number lowest_leader_term(const group_record& record, term_number newest);

/// A promotion is sent at most this long after its mark was sent to the store.
inline constexpr duration promotion_window = duration::from_ms(3500);
/// A promotion takes effect within this time after it was sent, or not at all.
inline constexpr duration promotion_settle_time = duration::from_ms(5000);

/// Promotions that were sent, or may have been, and have not been seen to take effect.
class pending_promotions {
public:
    /// Call with each record that becomes known, unless it names a primary and is outdated.
    /// `is_own` is true for records of this process.
    void on_record(const group_id& group, const group_record& record, bool is_own, instant now);
    /// This process has sent a promotion.
    void on_sent(const group_id& group, const endpoint_id& successor, instant now);
    /// A promotion of the endpoint has taken effect.
    void on_effect(const group_id& group, const endpoint_id& successor);

    /// Endpoint whose promotion may still take effect.
    [[nodiscard]] std::optional<endpoint_id> successor(const group_id& group, instant now) const;
    /// True if no promotion of another endpoint may still take effect.
    [[nodiscard]] bool may_promote(const group_id& group, const endpoint_id& successor,
                                   instant now) const;

private:
    struct pending {
        std::uint32_t calls = 0;  ///< Sent by this process, without an effect so far.
        instant until;            ///< No call takes effect later.
    };
    struct group_state {
        revision_number seen_revision = 0;
        std::map<endpoint_id, pending> promotions;
    };
    std::map<group_id, group_state> m_groups;
};

}  // namespace jasminelead
