#include "jasminelead/gateway.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace jasminelead {
namespace {

// Lets a single gateway use all slots while open transactions hold some of its connections.
constexpr double connections_per_slot = 2.2;

std::uint64_t weight(std::string_view first, std::string_view second) {
    std::string text{first};
    text.append("/").append(second);
    return XXH64(text.data(), text.size(), 0);
}

using placements = std::vector<host_placement>;

std::map<data_centre_id, placements> by_data_centre(std::span<const host_placement> hosts) {
    std::map<data_centre_id, placements> result;
    for (const host_placement& placement : hosts) {
        result[placement.data_centre].push_back(placement);
    }
    return result;
}

std::size_t gateways_per_data_centre(std::size_t data_centres, const endpoint_capacity& capacity) {
    const double connections_needed =
        connections_per_slot * std::max<std::uint32_t>(capacity.slots, 1);
    const auto total = static_cast<std::size_t>(capacity.max_connections / connections_needed);
    return std::max<std::size_t>((total + data_centres - 1) / data_centres, 1);
}

/// Hosts in ascending order of their rank.
template <class Rank>
std::vector<host_id> order_by(std::span<const host_placement> gateways, Rank rank) {
    placements ordered{gateways.begin(), gateways.end()};
    std::sort(ordered.begin(), ordered.end(),
              [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
    std::vector<host_id> hosts;
    hosts.reserve(ordered.size());
    for (const host_placement& placement : ordered) {
        hosts.push_back(placement.host);
    }
    return hosts;
}

}  // namespace

std::uint64_t host_weight(const group_id& group, const host_id& host) {
    return weight(group.str(), host.str());
}

std::vector<host_placement> choose_gateways(const group_id& group,
                                            std::span<const host_placement> hosts,
                                            const endpoint_capacity& capacity) {
    if (hosts.size() * capacity.slots <= capacity.max_connections) {
        return {hosts.begin(), hosts.end()};
    }
    auto groups = by_data_centre(hosts);
    const std::size_t each = gateways_per_data_centre(groups.size(), capacity);
    std::vector<host_placement> chosen;
    for (auto& [data_centre, local] : groups) {
        const std::size_t count = std::min(each, local.size());
        const auto rank = [&group](const host_placement& placement) {
            return std::tuple{host_weight(group, placement.host), placement.host};
        };
        std::partial_sort(local.begin(), local.begin() + static_cast<std::ptrdiff_t>(count),
                          local.end(),
                          [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
        chosen.insert(chosen.end(), local.begin(),
                      local.begin() + static_cast<std::ptrdiff_t>(count));
    }
    return chosen;
}

std::vector<host_id> order_gateways(const group_id& group, std::span<const host_placement> gateways,
                                    const host_placement& requester) {
    const std::string request_key = group.str() + "/" + requester.host.str();
    return order_by(gateways, [&](const host_placement& placement) {
        return std::tuple{placement.host != requester.host,
                          placement.data_centre != requester.data_centre,
                          weight(request_key, placement.host.str()), placement.host};
    });
}

std::vector<host_id> order_gateways_for_account(const group_id& group, const account_id& account,
                                                std::span<const host_placement> gateways,
                                                const data_centre_id& data_centre) {
    const std::string request_key = group.str() + "/" + account.str();
    return order_by(gateways, [&](const host_placement& placement) {
        return std::tuple{placement.data_centre != data_centre,
                          weight(request_key, placement.host.str()), placement.host};
    });
}

}  // namespace jasminelead
