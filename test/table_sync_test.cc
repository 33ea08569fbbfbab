#include "jasminelead/table_sync.h"

#include <catch2/catch.hpp>

#include "control_simulation.h"

using namespace jasminelead;
using namespace jasminelead::test;
using namespace jasminelead::literals;

namespace {

constexpr const char* weight = "endpoint/shows-1-a.read_weight";

std::vector<cell_edit> weight_edit(int from, int to) {
    return {{weight, std::to_string(from), std::to_string(to)}};
}

std::string weight_of(const node& n) {
    return cell_value(*n.context.config, weight).value_or("");
}

/// A fleet whose daemons all have revision 1.
std::unique_ptr<simulation> started(std::size_t hosts, std::size_t data_centres = 3) {
    auto fleet = std::make_unique<simulation>(hosts, data_centres);
    fleet->edit("first", first_rows());
    REQUIRE(fleet->run(20_s, [&] { return fleet->all_at(1); }));
    fleet->run(5_s);
    return fleet;
}

duration time_until_everywhere(simulation& fleet) {
    const instant before = fleet.now;
    fleet.edit("measured", weight_edit(100, 50));
    REQUIRE(fleet.run(60_s, [&] { return fleet.all_at(2); }));
    return fleet.now - before;
}

std::size_t relay_count(const simulation& fleet) {
    return static_cast<std::size_t>(std::count_if(
        fleet.nodes.begin(), fleet.nodes.end(), [](const auto& n) { return n->sync->is_relay(); }));
}

}  // namespace

// Guards against slow propagation. The targets are seconds for small and 15 s for large fleets.
TEST_CASE("a revision is applied on 6 daemons within seconds") {
    const std::size_t data_centres = GENERATE(1, 3);
    auto fleet = started(6, data_centres);
    CHECK(relay_count(*fleet) == 2 * data_centres);
    const duration taken = time_until_everywhere(*fleet);
    INFO("6 daemons, " << data_centres << " data centres: " << taken.ms() << " ms");
    CHECK(taken < 5_s);
}

TEST_CASE("a revision is applied on 480 daemons within 15 s, with 12 watches") {
    auto fleet = started(480, 6);
    CHECK(relay_count(*fleet) == 12);
    const duration taken = time_until_everywhere(*fleet);
    INFO("480 daemons: " << taken.ms() << " ms");
    CHECK(taken < 15_s);
    fleet->store.calls = 0;
    fleet->run(60_s);
    INFO("store calls of 12 relays in 60 s: " << fleet->store.calls);
    CHECK(fleet->store.calls <= 40);
}

// Guards against a daemon that follows a store which was restored from an old backup.
TEST_CASE("a lower revision from the store is rejected") {
    auto fleet = started(6);
    const auto backup = fleet->store.items;
    fleet->edit("second", weight_edit(100, 50));
    REQUIRE(fleet->run(10_s, [&] { return fleet->all_at(2); }));
    fleet->store.up = false;
    fleet->answer_watches();
    fleet->run(60_s);
    fleet->store.up = true;
    fleet->store.items = backup;
    fleet->run(60_s);
    int refused = 0;
    for (const auto& n : fleet->nodes) {
        CHECK(weight_of(*n) == "50");
        refused += n->counted["revision_refused"];
    }
    CHECK(refused > 0);
}

// Shows that the revision check is what protects an accepted edit.
TEST_CASE("without the revision check a lower revision reverts the table") {
    table first;
    first.revision = 1;
    core_context context;
    invariants checks;
    context.checks = &checks;
    context.enabled.revision_check = GENERATE(true, false);
    table second = first;
    second.revision = 2;
    context.config = std::make_shared<const table>(second);
    table_sync sync{context};
    action_list out;
    const std::string lower = write_json(table_snapshot{first, {}});
    sync.on_reply(host_id{"peer"}, {1, lower, {}}, {}, out);
    CHECK(sync.revision() == (context.enabled.revision_check ? 2 : 1));
    CHECK(checks.broken(promise::config_monotonic) == (context.enabled.revision_check ? 0 : 1));
}

// Guards against a daemon that starts during a store outage and serves without limits or never.
TEST_CASE("a daemon that starts while the store is down gets the table from its peers") {
    auto fleet = started(6);
    fleet->edit("second", weight_edit(100, 50));
    REQUIRE(fleet->run(10_s, [&] { return fleet->all_at(2); }));
    fleet->store.up = false;
    fleet->answer_watches();
    fleet->restart(3);
    CHECK_FALSE(fleet->nodes[3]->sync->synchronized());
    REQUIRE(fleet->run(5_s, [&] { return fleet->nodes[3]->sync->synchronized(); }));
    CHECK(weight_of(*fleet->nodes[3]) == "50");
}

// Guards against daemons that query an unavailable store too often or miss the first table.
TEST_CASE("daemons that start before the store and the first table get that table") {
    simulation fleet{6};
    fleet.store.up = false;
    fleet.run(60_s);
    CHECK(fleet.nodes[0]->sync->revision() == 0);
    CHECK_FALSE(fleet.nodes[0]->sync->synchronized());
    CHECK(fleet.store.calls < 6 * 20);
    fleet.store.up = true;
    fleet.edit("first", first_rows());
    CHECK(fleet.run(40_s, [&] { return fleet.all_at(1); }));
}

// Guards against daemons that keep different tables after a network partition.
TEST_CASE("a data centre catches up with missed revisions after a network partition") {
    auto fleet = started(6);
    const auto is_cut_off = [](std::size_t i) { return i % 3 == 0; };
    fleet->cut = [&](std::size_t a, std::size_t b) { return is_cut_off(a) != is_cut_off(b); };
    fleet->store_cut = is_cut_off;
    for (int i = 0; i < 80; ++i) {
        fleet->edit("e" + std::to_string(i), weight_edit(100 + i, 101 + i));
        fleet->run(1_s);
    }
    CHECK(fleet->nodes[0]->sync->revision() == 1);
    CHECK(fleet->nodes[1]->sync->revision() == 81);
    fleet->cut = [](std::size_t, std::size_t) { return false; };
    REQUIRE(fleet->run(15_s, [&] { return fleet->all_at(81); }));
    CHECK(weight_of(*fleet->nodes[0]) == "180");
    CHECK(*fleet->nodes[0]->context.config == *fleet->nodes[1]->context.config);
}

// Guards against a peer that cannot catch up because the deltas it needs are no longer stored.
TEST_CASE("a peer behind more than 256 deltas gets a snapshot") {
    auto fleet = started(2, 1);
    for (int i = 0; i < 300; ++i) {
        fleet->edit("e" + std::to_string(i), weight_edit(100 + i, 101 + i));
    }
    REQUIRE(fleet->run(10_s, [&] { return fleet->all_at(301); }));
    for (int i = 0; i < 300; ++i) {
        fleet->edit("f" + std::to_string(i), weight_edit(400 + i, 401 + i));
        fleet->run(100_ms);
    }
    action_list out;
    fleet->nodes[0]->sync->on_request(host_id{"x"}, {300}, fleet->now, out);
    fleet->nodes[0]->sync->on_request(host_id{"x"}, {500}, fleet->now, out);
    const auto reply = [&](std::size_t i) {
        return std::get<deltas_reply>(std::get<send_peer>(out[i]).message);
    };
    CHECK(reply(0).snapshot);
    CHECK_FALSE(reply(1).snapshot);
    CHECK(reply(1).deltas.size() == 101);
}

// Guards against applying an invalid table that a fault or a tool of another version has stored.
TEST_CASE("an invalid table is rejected, and a later valid one is applied") {
    auto fleet = started(6);
    auto head = parse_head(fleet->store.items["table/head"].value).value();
    head.deltas.push_back({2, "bad", "bob", 1, {{"group/shows-1", "exists", "absent"}}});
    head.revision = 2;
    fleet->store.perform(store_put{"table/head", write_json(head)});
    fleet->answer_watches();
    fleet->run(10_s);
    int refused = 0;
    for (const auto& n : fleet->nodes) {
        CHECK(n->sync->revision() == 1);
        refused += n->counted["table_invalid"];
    }
    CHECK(refused > 0);
    fleet->edit("repair", {{"group/shows-1", "absent", "exists"}});
    CHECK(fleet->run(10_s, [&] { return fleet->all_at(3); }));
}

// Guards against mixing two histories after the store was restored from a backup and edited again.
TEST_CASE("a daemon takes the whole table from a store with a different history") {
    auto fleet = started(12, 2);
    const auto backup = fleet->store.items;
    fleet->edit("second", weight_edit(100, 50));
    REQUIRE(fleet->run(10_s, [&] { return fleet->all_at(2); }));
    fleet->store.items["table/head"].value = backup.at("table/head").value;
    fleet->edit("other-2", {{"endpoint/shows-1-a.slots", "3", "4"}});
    fleet->run(5_s);
    fleet->edit("other-3", {{"endpoint/shows-1-a.slots", "4", "5"}});
    REQUIRE(fleet->run(10_s, [&] { return fleet->all_at(3); }));
    const table expected = *fleet->nodes[0]->context.config;
    CHECK(cell_value(expected, "endpoint/shows-1-a.slots") == "5");
    for (const auto& n : fleet->nodes) {
        CHECK(*n->context.config == expected);
    }
}
