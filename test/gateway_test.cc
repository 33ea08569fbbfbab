#include "jasminelead/gateway.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace jasminelead;

namespace {

std::vector<host_placement> fleet(int hosts, int data_centres) {
    std::vector<host_placement> placements;
    for (int i = 0; i < hosts; ++i) {
        placements.push_back({host_id{"h" + std::to_string(i)},
                              data_centre_id{"dc-" + std::to_string(i % data_centres)}, 1});
    }
    return placements;
}

std::set<host_id> names(const std::vector<host_placement>& placements) {
    std::set<host_id> result;
    for (const host_placement& placement : placements) {
        result.insert(placement.host);
    }
    return result;
}

const group_id shows{"shows"};

}  // namespace

TEST_CASE("every host connects when each can have a connection for every slot") {
    const auto hosts = fleet(6, 3);
    CHECK(choose_gateways(shows, hosts, {22, 3}) == hosts);
}

// Guards against 69 hosts that compete for the 34 connections of an endpoint.
TEST_CASE("a few hosts of each data centre connect when connections are scarce") {
    const auto hosts = fleet(69, 3);
    const auto gateways = choose_gateways(shows, hosts, {34, 3});
    std::map<data_centre_id, int> counts;
    for (const host_placement& placement : gateways) {
        ++counts[placement.data_centre];
    }
    REQUIRE(counts.size() == 3);
    for (const auto& [data_centre, count] : counts) {
        CHECK(count == 2);
    }
}

TEST_CASE("groups have different gateways") {
    const auto hosts = fleet(69, 3);
    std::set<host_id> used;
    for (int i = 0; i < 8; ++i) {
        used.merge(names(choose_gateways(group_id{"g" + std::to_string(i)}, hosts, {34, 3})));
    }
    CHECK(used.size() > 30);
}

// Guards against a burst of new connections when one host leaves a large fleet.
TEST_CASE("a host that leaves adds at most one new gateway") {
    const auto hosts = fleet(69, 3);
    const auto before = names(choose_gateways(shows, hosts, {34, 3}));
    for (const host_placement& gone : hosts) {
        auto left = hosts;
        std::erase(left, gone);
        const auto after = names(choose_gateways(shows, left, {34, 3}));
        std::vector<host_id> added;
        std::set_difference(after.begin(), after.end(), before.begin(), before.end(),
                            std::back_inserter(added));
        CHECK(added.size() == (before.contains(gone.host) ? 1 : 0));
    }
}

TEST_CASE("a host tries itself first, then gateways of its data centre") {
    const auto hosts = fleet(9, 3);
    const auto own = order_gateways(shows, hosts, hosts[4]);
    REQUIRE(own.size() == 9);
    CHECK(own[0] == host_id{"h4"});
    CHECK(std::set<host_id>{own[1], own[2]} == std::set<host_id>{host_id{"h1"}, host_id{"h7"}});
}

// Guards against one gateway receiving the statements of a whole data centre.
TEST_CASE("hosts of a data centre are spread over its gateways") {
    const auto hosts = fleet(69, 3);
    const auto gateways = choose_gateways(shows, hosts, {34, 3});
    const auto chosen = names(gateways);
    std::map<host_id, int> asked;
    int askers = 0;
    for (const host_placement& host : hosts) {
        if (host.data_centre == data_centre_id{"dc-0"} && !chosen.contains(host.host)) {
            ++asked[order_gateways(shows, gateways, host).front()];
            ++askers;
        }
    }
    CHECK(asked.size() == 2);
    for (const auto& [gateway, count] : asked) {
        CHECK(count < askers * 2 / 3);
    }
}

// Guards against accounts whose connections are spread over all gateways, so that each gateway
// opens and closes them over and over.
TEST_CASE("all hosts of a data centre try the same gateway first for an account") {
    const auto hosts = fleet(69, 3);
    const auto gateways = choose_gateways(shows, hosts, {34, 3});
    std::map<data_centre_id, std::set<host_id>> first;
    for (int i = 0; i < 40; ++i) {
        const account_id account{"account-" + std::to_string(i)};
        for (int place = 0; place < 3; ++place) {
            const data_centre_id data_centre{"dc-" + std::to_string(place)};
            const auto order = order_gateways_for_account(shows, account, gateways, data_centre);
            REQUIRE(order.size() == gateways.size());
            first[data_centre].insert(order.front());
            const auto chosen =
                std::find_if(gateways.begin(), gateways.end(),
                             [&](const auto& item) { return item.host == order.front(); });
            CHECK(chosen->data_centre == data_centre);
        }
    }
    for (const auto& [data_centre, hosts_used] : first) {
        CHECK(hosts_used.size() == 2);
    }
}
