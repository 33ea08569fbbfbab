#include "jasminelead/store_reader.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace jasminelead {
namespace {

// Two, so that one may fail without an interruption.
constexpr std::size_t readers_per_data_centre = 2;
const group_id ranking_group{"store"};

std::vector<host_placement> readers_of(std::span<const host_placement> hosts,
                                       const data_centre_id& data_centre) {
    std::vector<host_placement> local;
    for (const host_placement& placement : hosts) {
        if (placement.data_centre == data_centre) {
            local.push_back(placement);
        }
    }
    // Hosts with a larger CPU share also have faster network links.
    const auto rank = [](const host_placement& placement) {
        return std::tuple{-placement.cpu_share, host_weight(ranking_group, placement.host),
                          placement.host};
    };
    std::sort(local.begin(), local.end(),
              [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
    local.resize(std::min(local.size(), readers_per_data_centre));
    return local;
}

}  // namespace

std::vector<host_id> choose_store_readers(std::span<const host_placement> hosts,
                                          const host_placement& self) {
    const auto readers = readers_of(hosts, self.data_centre);
    const bool reads = std::any_of(
        readers.begin(), readers.end(),
        [&self](const host_placement& placement) { return placement.host == self.host; });
    if (reads) {
        return {};
    }
    return order_gateways(ranking_group, readers, self);
}

std::vector<host_id> all_store_readers(std::span<const host_placement> hosts) {
    std::set<data_centre_id> data_centres;
    for (const host_placement& placement : hosts) {
        data_centres.insert(placement.data_centre);
    }
    std::vector<host_id> readers;
    for (const data_centre_id& data_centre : data_centres) {
        for (const host_placement& placement : readers_of(hosts, data_centre)) {
            readers.push_back(placement.host);
        }
    }
    return readers;
}

}  // namespace jasminelead
