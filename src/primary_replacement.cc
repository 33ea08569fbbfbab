#include "jasminelead/primary_replacement.h"

#include <algorithm>
#include <tuple>

#include "jasminelead/fleet_quorum.h"

namespace jasminelead {

/// Load pattern: a partition in which most hosts lose the store together with a primary. They
/// cannot confirm their leases, unless they ask every registered host, which would then hear from
/// them. A host that neither holds its lease nor is heard thus cannot use the primary, and does not
/// count.
primary_health count_hosts(std::span<const host_view> hosts) {
    const auto count = [&hosts](auto condition) {
        return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), condition));
    };
    const auto is_present = [](const host_view& host) { return host.holds_lease || host.is_heard; };
    const auto is_voter = [](const host_view& host) { return host.is_voting && host.is_gateway; };
    primary_health health;
    health.present = count(is_present);
    health.hosts = count([](const host_view& host) { return host.is_voting; });
    health.gateways =
        count([&](const host_view& host) { return host.is_gateway && is_present(host); });
    health.voters = count(is_voter);
    health.voters_without_primary =
        count([&](const host_view& host) { return is_voter(host) && !host.reaches_primary; });
    return health;
}

/// Replacement requires a majority: a partitioned minority must not replace a primary that the
/// majority still reaches, and two halves must not keep replacing each other's primary.
replacement decide_replacement(const primary_health& health) {
    // A host that has the views of only a few others is more likely to be partitioned itself.
    // A mark that too few granters learn would only stop this side of a partition.
    if (!health.can_reach_granters) {
        return replacement::none;
    }
    if (health.hosts * 2 < health.present || health.voters * 2 < health.gateways) {
        return replacement::none;
    }
    if (!health.is_listed || health.reports_replica_role ||
        is_majority(health.voters_without_primary, health.voters)) {
        return replacement::urgent;
    }
    return health.is_leaving ? replacement::planned : replacement::none;
}

/// An endpoint that was partitioned together with an earlier primary may not know the current one.
/// Its log extends past the common prefix; as a successor it would restore commits that callers
/// have already seen rolled back, and drop later ones.
bool has_diverged(const log_point& received, term_number term, const log_point& taken_over_at) {
    return received.term < term && received > taken_over_at;
}

/// It may have been promoted by another host or by an earlier attempt, or have taken the place of
/// the primary at its address, with its term.
std::optional<std::size_t> find_leader(std::span<const successor_candidate> candidates,
                                       term_number newest) {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (leads(candidates[i].reported, newest)) {
            return i;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> choose_successor(std::span<const successor_candidate> candidates,
                                            std::size_t hosts,
                                            const std::optional<endpoint_id>& pending) {
    const auto rank = [&](const successor_candidate& candidate) {
        return std::tuple{candidate.id == pending, !is_majority(candidate.hosts_without, hosts),
                          candidate.received, candidate.is_in_primary_data_centre};
    };
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!best || rank(candidates[i]) > rank(candidates[*best])) {
            best = i;
        }
    }
    return best;
}

}  // namespace jasminelead
