#include "jasminelead/gateway.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace jasminelead {
namespace {

// A gateway fills all slots alone while some of its connections are held by open transactions.
constexpr double connections_per_slot = 2.2;

std::uint64_t weight(std::string_view first, std::string_view second) {
    std::string text{first};
    text.append("/").append(second);
    return XXH64(text.data(), text.size(), 0);
}

using places = std::vector<host_place>;

std::map<data_centre_id, places> by_data_centre(std::span<const host_place> hosts) {
    std::map<data_centre_id, places> result;
    for (const host_place& place : hosts) {
        result[place.data_centre].push_back(place);
    }
    return result;
}

std::size_t gateways_of_each(std::size_t data_centres, const endpoint_capacity& capacity) {
    const double wanted = connections_per_slot * std::max<std::uint32_t>(capacity.slots, 1);
    const auto total = static_cast<std::size_t>(capacity.max_connections / wanted);
    return std::max<std::size_t>((total + data_centres - 1) / data_centres, 1);
}

}  // namespace

std::uint64_t host_weight(const group_id& group, const host_id& host) {
    return weight(group.str(), host.str());
}

std::vector<host_place> choose_gateways(const group_id& group, std::span<const host_place> hosts,
                                        const endpoint_capacity& capacity) {
    if (hosts.size() * capacity.slots <= capacity.max_connections) {
        return {hosts.begin(), hosts.end()};
    }
    auto groups = by_data_centre(hosts);
    const std::size_t each = gateways_of_each(groups.size(), capacity);
    std::vector<host_place> chosen;
    for (auto& [data_centre, local] : groups) {
        const std::size_t count = std::min(each, local.size());
        const auto rank = [&group](const host_place& place) {
            return std::tuple{host_weight(group, place.host), place.host};
        };
        std::partial_sort(local.begin(), local.begin() + static_cast<std::ptrdiff_t>(count),
                          local.end(),
                          [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
        chosen.insert(chosen.end(), local.begin(),
                      local.begin() + static_cast<std::ptrdiff_t>(count));
    }
    return chosen;
}

std::vector<host_id> order_gateways(const group_id& group, std::span<const host_place> gateways,
                                    const host_place& asking) {
    std::vector<host_place> ordered{gateways.begin(), gateways.end()};
    const std::string asker = group.str() + "/" + asking.host.str();
    const auto rank = [&](const host_place& place) {
        return std::tuple{place.host != asking.host, place.data_centre != asking.data_centre,
                          weight(asker, place.host.str()), place.host};
    };
    std::sort(ordered.begin(), ordered.end(),
              [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
    std::vector<host_id> hosts;
    hosts.reserve(ordered.size());
    for (const host_place& place : ordered) {
        hosts.push_back(place.host);
    }
    return hosts;
}

}  // namespace jasminelead
