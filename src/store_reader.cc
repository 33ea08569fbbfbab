#include "jasminelead/store_reader.h"

#include <algorithm>
#include <tuple>

namespace jasminelead {
namespace {

// One may fail without a gap.
constexpr std::size_t readers_of_each = 2;
const group_id reading{"store"};

}  // namespace

std::vector<host_id> choose_store_readers(std::span<const host_place> hosts,
                                          const host_place& self) {
    std::vector<host_place> local;
    for (const host_place& place : hosts) {
        if (place.data_centre == self.data_centre) {
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
    const bool reads = std::any_of(local.begin(), local.end(), [&self](const host_place& place) {
        return place.host == self.host;
    });
    if (reads) {
        return {};
    }
    return order_gateways(reading, local, self);
}

}  // namespace jasminelead
