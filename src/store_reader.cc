#include "jasminelead/store_reader.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace jasminelead {
namespace {

// One may fail without a gap.
constexpr std::size_t readers_of_each = 2;
const group_id reading{"store"};

std::vector<host_place> readers_of(std::span<const host_place> hosts,
                                   const data_centre_id& data_centre) {
    std::vector<host_place> local;
    for (const host_place& place : hosts) {
        if (place.data_centre == data_centre) {
            local.push_back(place);
        }
    }
    // Hosts with more processor time have faster links as well.
    const auto rank = [](const host_place& place) {
        return std::tuple{-place.cpu_share, host_weight(reading, place.host), place.host};
    };
    std::sort(local.begin(), local.end(),
              [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
    local.resize(std::min(local.size(), readers_of_each));
    return local;
}

}  // namespace

std::vector<host_id> choose_store_readers(std::span<const host_place> hosts,
                                          const host_place& self) {
    const auto readers = readers_of(hosts, self.data_centre);
    const bool reads =
        std::any_of(readers.begin(), readers.end(),
                    [&self](const host_place& place) { return place.host == self.host; });
    if (reads) {
        return {};
    }
    return order_gateways(reading, readers, self);
}

std::vector<host_id> all_store_readers(std::span<const host_place> hosts) {
    std::set<data_centre_id> data_centres;
    for (const host_place& place : hosts) {
        data_centres.insert(place.data_centre);
    }
    std::vector<host_id> readers;
    for (const data_centre_id& data_centre : data_centres) {
        for (const host_place& place : readers_of(hosts, data_centre)) {
            readers.push_back(place.host);
        }
    }
    return readers;
}

}  // namespace jasminelead
