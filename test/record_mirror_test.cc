#include "proxy/record_mirror.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <numeric>
#include <thread>

#include "odd_entries.h"
#include "proxy/peer_messages.h"

using namespace jasminelead;
using namespace jasminelead::literals;
using namespace jasminelead::proxy;

namespace {

std::string endpoint_value(const std::string& state = "ready") {
    return R"({"service":"shows","addr":"127.0.0.1:1","zone":"dc","version":"v1","slots":3,"state":")" +
           state + R"(","coldLeftMs":0,"dbRole":"replica","seq":1})";
}

/// A mirror with a fleet state and a worker.
struct mirror_fixture {
    daemon::worker home;
    daemon::metrics counters;
    fleet_state fleet{home, {host_id{"h1"}, data_centre_id{"dc"}, 0.25}, counters};
    record_mirror mirror{fleet, counters};

    bool lists(const std::string& id) { return fleet.pool(endpoint_id{id}) != nullptr; }
    bool forwards_deletion(const std::string& key, revision_number known) {
        const auto changes = mirror.changes_since(known);
        return std::any_of(changes.begin(), changes.end(), [&key](const auto& change) {
            return change.key == key && !change.value;
        });
    }
};

}  // namespace

TEST_CASE("changes are returned in order of revision") {
    mirror_fixture f;
    f.mirror.apply({"servers/b", 7, endpoint_value()});
    f.mirror.apply({"servers/a", 9, endpoint_value()});
    f.mirror.apply({"servers/b", 12, endpoint_value("draining")});
    const auto changes = f.mirror.changes_since(7);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].key == "servers/a");
    CHECK(changes[1].key == "servers/b");
    CHECK(changes[1].revision == 12);
    CHECK(f.mirror.changes_since(12).empty());
}

TEST_CASE("a change with an older revision is ignored") {
    mirror_fixture f;
    f.mirror.apply({"servers/a", 9, std::nullopt});
    f.mirror.apply({"servers/a", 8, endpoint_value()});
    CHECK_FALSE(f.lists("a"));
}

// Guards against a removed endpoint that stays in use on hosts that follow a reader. It occurs
// when the reader's watch has lost its history, because a listing does not contain deletions.
TEST_CASE("an entry missing from a listing is forwarded as deleted") {
    mirror_fixture f;
    f.mirror.apply({"servers/a", 50, endpoint_value()});
    f.mirror.apply({"servers/b", 90, endpoint_value()});
    f.mirror.complete_listing({"servers/b"}, 120);
    CHECK(f.forwards_deletion("servers/a", 100));
    CHECK_FALSE(f.forwards_deletion("servers/b", 0));
}

TEST_CASE("an entry newer than a listing is kept") {
    mirror_fixture f;
    f.mirror.apply({"servers/a", 125, endpoint_value()});
    f.mirror.complete_listing({}, 120);
    CHECK_FALSE(f.forwards_deletion("servers/a", 0));
}

// Guards against a removed endpoint or host that is used again after a restart of this process: a
// peer that was cut off from the store still forwards its entry.
TEST_CASE("a peer's outdated entry is ignored after a complete listing") {
    mirror_fixture f;
    f.mirror.apply({"servers/b", 80, endpoint_value()});
    f.mirror.complete_listing({"servers/b"}, 120);
    f.mirror.apply({"servers/a", 90, endpoint_value()});
    CHECK_FALSE(f.lists("a"));
    f.mirror.apply(
        {"jasminelead/fleet/host/h9", 95,
         encode_host_record(
             {host_id{"h9"}, 1, "127.0.0.1:1", data_centre_id{"dc"}, 0.25, {}, 900_ms, true})});
    CHECK(f.mirror.hosts().empty());
    f.mirror.apply({"servers/a", 130, endpoint_value()});
    CHECK(f.lists("a"));
}

// Guards against an outdated entry that is applied again once its deletion is no longer kept.
TEST_CASE("entries stay deleted after their tombstones are dropped") {
    mirror_fixture f;
    revision_number revision = 1;
    for (int i = 0; i < 1500; ++i) {
        const std::string key = "servers/e" + std::to_string(i);
        f.mirror.apply({key, ++revision, endpoint_value()});
        f.mirror.apply({key, ++revision, std::nullopt});
        f.mirror.advance_complete_up_to(revision);
    }
    f.mirror.apply({"servers/e1", 4, endpoint_value()});
    const auto changes = f.mirror.changes_since(0);
    CHECK(std::none_of(changes.begin(), changes.end(), [](const auto& change) {
        return change.key == "servers/e1" && change.value;
    }));
    CHECK(changes.size() <= 1100);
}

// Guards against a rolling upgrade in which a host with shorter leases promotes while a host of an
// earlier build still uses the old primary.
TEST_CASE("the longest lease of all known hosts counts") {
    mirror_fixture f;
    CHECK(f.mirror.longest_lease() == f.fleet.lease.length());
    f.mirror.apply(
        {"jasminelead/fleet/host/h2", 5, R"({"host":"h2","incarnation":1,"peer":"127.0.0.1:1"})"});
    CHECK(f.mirror.longest_lease() == unstated_lease_length);
}

// Guards against records with non-ASCII bytes that followers never receive.
TEST_CASE("a value with arbitrary bytes is forwarded unchanged") {
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte) {
        bytes.push_back(static_cast<char>(byte));
    }
    mirror_fixture f;
    f.mirror.apply({"servers/odd", 5, bytes});
    peer_response response;
    response.changes = f.mirror.changes_since(0);
    const auto received = decode_peer_response(encode_peer_response(response));
    REQUIRE(received);
    REQUIRE(received->changes.size() == 1);
    CHECK(received->changes.front().value == bytes);
}

// Guards against an endpoint that stays in use on an entry that another writer has overwritten, and
// against an unreadable entry that affects the other endpoints.
TEST_CASE("an entry that becomes unreadable names no endpoint after the grace time") {
    const auto [name, value] = GENERATE(table<std::string, std::string>({
        {"version", test::nested(1000)},
        {"slots", "1e300"},
        {"addr", "\"127.0.0.1:99999\""},
    }));
    INFO(name << " " << value.substr(0, 40));
    const std::string odd = test::entry_with(name, value);
    mirror_fixture f;
    for (const char* key : {"servers/a", "servers/b", "servers/c"}) {
        f.mirror.apply({key, 5, endpoint_value()});
    }
    f.mirror.apply({"servers/a", 6, odd});
    f.mirror.apply({"servers/b", 7, odd});
    f.mirror.remove_expired();
    CHECK(f.lists("a"));
    CHECK(f.counters.value("unreadable_records", "endpoint") == 2);
    f.mirror.apply({"servers/b", 8, endpoint_value()});
    std::this_thread::sleep_for(std::chrono::milliseconds{2600});
    f.mirror.remove_expired();
    CHECK_FALSE(f.lists("a"));
    CHECK(f.lists("b"));
    CHECK(f.lists("c"));
    f.mirror.apply({"servers/a", 9, endpoint_value()});
    CHECK(f.lists("a"));
}

// Guards against connections to one service that are used for statements of another.
TEST_CASE("an entry that names another service replaces the endpoint's connections") {
    mirror_fixture f;
    f.mirror.apply({"servers/a", 5, endpoint_value()});
    const auto before = f.fleet.pool(endpoint_id{"a"});
    std::string moved = endpoint_value();
    moved.replace(moved.find("shows"), 5, "other");
    f.mirror.apply({"servers/a", 6, moved});
    CHECK(before->is_retired());
    CHECK(f.fleet.pools(group_id{"shows"}).empty());
    CHECK(f.fleet.pools(group_id{"other"}).size() == 1);
}

// Guards against a malformed acknowledgement that covers every mark of a group, so that a successor
// is promoted while the host still uses the old primary.
TEST_CASE("a malformed acknowledgement of stopped use is ignored") {
    mirror_fixture f;
    const group_id group{"shows"};
    const host_id host{"h2"};
    const std::string key = stopped_use_key(group, host);
    f.mirror.apply({key, 9, "7"});
    CHECK(f.mirror.stopped(group, host) == 7);
    revision_number revision = 9;
    for (const char* text : {"-1", "99999999999999999999", "18446744073709551615", "8x", " 8", "8 ",
                             "+8", "", "1e9", "0x9", "8.0", "{}", "1000"}) {
        INFO(text);
        f.mirror.apply({key, ++revision, text});
        CHECK(f.mirror.stopped(group, host) == 7);
    }
    f.mirror.apply({key, 40, "38"});
    CHECK(f.mirror.stopped(group, host) == 38);
}

// Guards against a record that stands for another host, and against a lease so long that no primary
// is ever replaced.
TEST_CASE("a host record with another host's name or an implausible lease is ignored") {
    mirror_fixture f;
    const std::string key = "jasminelead/fleet/host/h2";
    f.mirror.apply({key, 5, R"({"host":"h3","incarnation":1,"peer":"127.0.0.1:1"})"});
    f.mirror.apply({key, 6, R"({"host":"h2","incarnation":1,"peer":"127.0.0.1:1",
                               "lease_us":2000000000000000000})"});
    CHECK(f.mirror.hosts().empty());
    CHECK(f.mirror.longest_lease() == f.fleet.lease.length());
    f.mirror.apply({key, 7, R"({"host":"h2","incarnation":1,"peer":"127.0.0.1:1",
                               "lease_us":1500000})"});
    CHECK(f.mirror.hosts().size() == 1);
}

// Guards against a configuration that no host follows after the store has returned from an older
// copy: its revision is below the one of the lost configuration.
TEST_CASE("a change of a later era is newer than all of an earlier one") {
    mirror_fixture f;
    f.mirror.apply({"servers/a", 900, endpoint_value("ready")});
    f.mirror.advance_complete_up_to(900);
    f.mirror.apply({"servers/a", revision_in_era(1, 700), endpoint_value("draining")});
    f.mirror.apply({"servers/b", revision_in_era(1, 5), endpoint_value("ready")});
    CHECK(f.lists("b"));
    // A host that still knows only the earlier era forwards what the store has lost.
    f.mirror.apply({"servers/a", 950, endpoint_value("ready")});
    const auto changes = f.mirror.changes_since(950);
    REQUIRE(changes.size() == 2);
    CHECK(changes[1].value == endpoint_value("draining"));
}

// Guards against a host or an endpoint that the store has lost and that stays in use, because its
// last revision is above that of the listing.
TEST_CASE("a listing of a later era deletes what it does not contain") {
    mirror_fixture f;
    f.mirror.apply({"servers/a", 900, endpoint_value()});
    f.mirror.complete_listing({}, revision_in_era(1, 700));
    CHECK(f.forwards_deletion("servers/a", 900));
    CHECK(f.mirror.stored_revision("servers/a") == 0);
}

// Guards against hosts that stay apart after the store has returned from a copy: they hear of the
// eras in different orders, from the store and from hosts that know less.
TEST_CASE("mirrors that have received the same changes in any order hold the same records") {
    const bool holds = rc::check("order of arrival over eras", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 30);
        std::vector<platform::store_change> changes;
        for (std::size_t i = 0; i < count; ++i) {
            const auto era = *rc::gen::inRange<store_era>(0, 3);
            const std::string key = "servers/e" + std::to_string(*rc::gen::inRange(0, 4));
            // The store gives one revision to one change of an era.
            const revision_number revision = revision_in_era(era, i + 1);
            const bool is_deleted = *rc::gen::inRange(0, 4) == 0;
            changes.push_back(
                {key, revision, is_deleted ? std::nullopt : std::optional{endpoint_value()}});
        }
        const auto shuffled = *rc::gen::map(
            rc::gen::container<std::vector<int>>(count, rc::gen::inRange(0, 1000)),
            [&changes](const std::vector<int>& ranks) {
                std::vector<std::size_t> order(changes.size());
                std::iota(order.begin(), order.end(), std::size_t{0});
                std::stable_sort(order.begin(), order.end(),
                                 [&](std::size_t a, std::size_t b) { return ranks[a] < ranks[b]; });
                return order;
            });
        mirror_fixture in_order;
        mirror_fixture out_of_order;
        for (const auto& change : changes) {
            in_order.mirror.apply(change);
        }
        for (const std::size_t i : shuffled) {
            out_of_order.mirror.apply(changes[i]);
        }
        for (int i = 0; i < 4; ++i) {
            const std::string key = "servers/e" + std::to_string(i);
            RC_ASSERT(in_order.mirror.stored_revision(key) ==
                      out_of_order.mirror.stored_revision(key));
        }
        RC_ASSERT(in_order.mirror.revision() == out_of_order.mirror.revision());
    });
    CHECK(holds);
}
