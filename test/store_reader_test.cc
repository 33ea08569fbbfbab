#include "jasminelead/store_reader.h"

#include <catch2/catch.hpp>
#include <map>

using namespace jasminelead;

namespace {

std::vector<host_placement> fleet(int hosts) {
    std::vector<host_placement> placements;
    for (int i = 0; i < hosts; ++i) {
        placements.push_back({host_id{"h" + std::to_string(i)},
                              data_centre_id{"dc-" + std::to_string(i % 3)}, i < 6 ? 0.5 : 0.12});
    }
    return placements;
}

}  // namespace

TEST_CASE("hosts of a small data centre all read the store") {
    const auto hosts = fleet(6);
    for (const host_placement& host : hosts) {
        CHECK(choose_store_readers(hosts, host).empty());
    }
}

// Guards against a number of store calls that grows with the fleet.
TEST_CASE("the two hosts with the largest CPU share in each data centre read the store") {
    const auto hosts = fleet(69);
    std::map<host_id, int> followers;
    for (const host_placement& host : hosts) {
        const auto readers = choose_store_readers(hosts, host);
        if (!readers.empty()) {
            CHECK(readers.size() == 2);
            ++followers[readers.front()];
        }
    }
    CHECK(followers.size() == 6);
    for (int i = 0; i < 6; ++i) {
        CHECK(choose_store_readers(hosts, hosts[i]).empty());
        CHECK(followers[hosts[i].host] > 5);
    }
}

TEST_CASE("the readers of all data centres can be listed") {
    CHECK(all_store_readers(fleet(69)).size() == 6);
    CHECK(all_store_readers(fleet(4)).size() == 4);
}
