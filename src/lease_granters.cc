#include "jasminelead/lease_granters.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace jasminelead {
namespace {

// Tolerates the loss of a third; more granters would only add messages during an outage.
constexpr std::size_t max_granters = 9;
const group_id ranking_group{"granters"};

std::size_t count_members(const std::set<host_id>& members, const std::set<host_id>& hosts) {
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [&hosts](const host_id& member) { return hosts.contains(member); }));
}

bool has_replacement_quorum(const std::set<host_id>& members, const std::set<host_id>& hosts) {
    return members.empty() || count_members(members, hosts) >= replacement_quorum(members.size());
}

}  // namespace

/// The bound on `store_age` lets a replacement without a quorum wait until all grants have ended,
/// for example when most granters are lost for good.
bool may_rely_on_grants(const granter_set& granters, const std::set<host_id>& granted_by,
                        duration store_age, duration lease_length) {
    const std::size_t size = granters.members.size();
    return size > 0 && count_members(granters.members, granted_by) >= grant_quorum(size) &&
           store_age < max_time_on_grants - lease_length;
}

bool is_replacement_known(const granter_set& granters, std::span<const std::set<host_id>> lost,
                          duration known_for, const std::set<host_id>& acknowledged) {
    const auto has_quorum = [&acknowledged](const std::set<host_id>& members) {
        return has_replacement_quorum(members, acknowledged);
    };
    const bool is_settled = known_for >= max_time_on_grants;
    return has_quorum(granters.members) &&
           (is_settled ||
            (has_quorum(granters.previous) && std::all_of(lost.begin(), lost.end(), has_quorum)));
}

std::set<host_id> choose_granters(std::span<const host_placement> hosts) {
    std::map<data_centre_id, std::vector<host_placement>> by_data_centre;
    for (const host_placement& placement : hosts) {
        by_data_centre[placement.data_centre].push_back(placement);
    }
    const auto rank = [](const host_placement& placement) {
        return std::tuple{-placement.cpu_share, host_weight(ranking_group, placement.host),
                          placement.host};
    };
    for (auto& [data_centre, local] : by_data_centre) {
        std::sort(local.begin(), local.end(),
                  [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
    }
    const std::size_t count = std::min(max_granters, hosts.size());
    std::set<host_id> chosen;
    for (std::size_t turn = 0; chosen.size() < count; ++turn) {
        for (const auto& [data_centre, local] : by_data_centre) {
            if (turn < local.size() && chosen.size() < count) {
                chosen.insert(local[turn].host);
            }
        }
    }
    return chosen;
}

bool may_change_granters(const std::optional<granter_set>& known, duration known_for) {
    return !known || known_for >= max_time_on_grants;
}

}  // namespace jasminelead
