#include "jasminelead/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "control_simulation.h"

using namespace jasminelead;
using namespace jasminelead::test;
using namespace jasminelead::literals;

namespace {

const auto no_partition = [](std::size_t, std::size_t) { return false; };

bool sees(const simulation& fleet, std::size_t observer, std::size_t host) {
    return fleet.nodes[observer]->context.fleet->host(fleet.list.hosts[host].id) != nullptr;
}
bool all_see(const simulation& fleet, std::size_t host, bool expected) {
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
        if (i != host && fleet.nodes[i]->up && sees(fleet, i, host) != expected) {
            return false;
        }
    }
    return true;
}
member_status status_of(const simulation& fleet, std::size_t observer, std::size_t host) {
    for (const member_status& row : fleet.nodes[observer]->members->status()) {
        if (row.host == fleet.list.hosts[host].id) {
            return row;
        }
    }
    return {};
}
void isolate(simulation& fleet, std::size_t host) {
    fleet.cut = [host](std::size_t a, std::size_t b) { return a == host || b == host; };
}

/// A single membership without a network.
struct membership_fixture {
    membership_fixture() {
        context.self = host_id{"a"};
        context.data_centre = data_centre_id{"dc"};
        context.incarnation = 10;
        members.emplace(context);
        list.hosts = {entry("a", 1), entry("b", 2), entry("c", 3)};
        list.endpoints = {{endpoint_id{"e"}, group_id{"g"}, data_centre_id{"dc"}, "127.0.0.1:9",
                           member_state::live}};
        apply_list({});
    }
    static host_entry entry(const char* id, int port) {
        return {host_id{id}, data_centre_id{"dc"}, "127.0.0.1:" + std::to_string(port),
                member_state::live};
    }
    void apply_list(instant now) { members->on_host_list(list, now, out); }
    [[nodiscard]] bool has(const char* id) const {
        return context.fleet->host(host_id{id}) != nullptr;
    }
    core_context context;
    std::optional<membership> members;
    host_list list;
    action_list out;
};

constexpr instant at(double ms) {
    return instant::from_ms(ms);
}

void measure(std::size_t hosts, std::size_t data_centres) {
    simulation fleet{hosts, data_centres};
    fleet.run(10_s);
    const auto reset = [&] {
        for (auto& n : fleet.nodes) {
            n->membership_bytes = 0;
        }
    };
    const auto per_daemon = [&](double seconds) {
        std::size_t bytes = 0;
        for (auto& n : fleet.nodes) {
            bytes += n->membership_bytes;
        }
        return static_cast<double>(bytes) / static_cast<double>(hosts) / seconds;
    };
    reset();
    fleet.run(20_s);
    const double idle = per_daemon(20);
    reset();
    fleet.nodes[1]->up = false;
    fleet.run(20_s);
    const double busy = per_daemon(20);
    INFO(hosts << " daemons, sent and received: " << idle << " B/s idle, " << busy
               << " B/s while a host fails");
    CHECK(busy < 3000);
}

}  // namespace

// Guards against control traffic that grows with the fleet; the limit is 3 KB/s for each daemon.
TEST_CASE("membership traffic stays below its limit at 6 and at 480 daemons") {
    measure(6, 3);
    measure(480, 6);
}

TEST_CASE("a crashed host leaves the fleet 300 ms after a refused connection") {
    simulation fleet{6};
    fleet.run(5_s);
    fleet.nodes[2]->up = false;
    const instant before = fleet.now;
    action_list out;
    fleet.act(0, [&](node& n, action_list& actions) {
        n.members->on_peer_failed({fleet.list.hosts[2].id, endpoint_error::refused}, fleet.now,
                                  actions);
    });
    CHECK(status_of(fleet, 0, 2).state == liveness::suspect);
    REQUIRE(fleet.run(2_s, [&] { return !sees(fleet, 0, 2); }));
    CHECK(fleet.now - before == 300_ms);
    CHECK(fleet.run(5_s, [&] { return all_see(fleet, 2, false); }));
}

TEST_CASE("an isolated host is removed from the fleet and rejoins when it is reachable") {
    simulation fleet{6};
    fleet.run(5_s);
    isolate(fleet, 2);
    REQUIRE(fleet.run(6_s, [&] { return all_see(fleet, 2, false); }));
    CHECK(all_see(fleet, 1, false) == false);
    fleet.cut = no_partition;
    CHECK(fleet.run(6_s, [&] { return all_see(fleet, 2, true); }));
}

// Guards against a host that is declared dead because a single path to it is broken.
TEST_CASE("a host that answers indirect pings stays alive") {
    simulation fleet{6};
    fleet.run(5_s);
    fleet.cut = [](std::size_t a, std::size_t b) { return a + b == 1; };
    const bool lost = fleet.run(60_s, [&] { return !sees(fleet, 0, 1) || !sees(fleet, 1, 0); });
    CHECK_FALSE(lost);
}

// Guards against declaring a suspect dead although it is running and refutes the suspicion.
TEST_CASE("a suspect host refutes with a higher incarnation") {
    simulation fleet{6};
    fleet.run(5_s);
    const auto before = status_of(fleet, 1, 2).incarnation;
    fleet.act(0, [&](node& n, action_list& out) {
        n.members->on_peer_failed({fleet.list.hosts[2].id, endpoint_error::refused}, fleet.now,
                                  out);
    });
    fleet.run(5_s);
    CHECK(status_of(fleet, 1, 2).incarnation > before);
    CHECK(status_of(fleet, 1, 2).state == liveness::alive);
    CHECK(fleet.nodes[0]->fleet_changes <= 1);
}

// Guards against endpoint ownership that moves each time an unstable network cuts off a host.
TEST_CASE("the hold-down time of a flapping host grows") {
    simulation fleet{6};
    fleet.run(5_s);
    int returns = 0;
    bool seen = true;
    for (int i = 0; i < 30; ++i) {
        isolate(fleet, 2);
        fleet.run(3_s);
        fleet.cut = no_partition;
        fleet.run(3_s, [&] {
            returns += !seen && sees(fleet, 0, 2) ? 1 : 0;
            seen = sees(fleet, 0, 2);
            return false;
        });
    }
    CHECK(returns <= 4);
    CHECK(fleet.run(40_s, [&] { return all_see(fleet, 2, true); }));
}

TEST_CASE("two halves of a fleet reconnect after a partition") {
    simulation fleet{12};
    fleet.run(5_s);
    fleet.cut = [](std::size_t a, std::size_t b) { return (a < 6) != (b < 6); };
    fleet.run(60_s);
    CHECK_FALSE(sees(fleet, 0, 7));
    CHECK(sees(fleet, 0, 5));
    fleet.cut = no_partition;
    const auto complete = [&] {
        return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                           [](const auto& n) { return n->context.fleet->hosts().size() == 12; });
    };
    CHECK(fleet.run(15_s, complete));
}

TEST_CASE("a restarted host is alive again with its higher incarnation") {
    simulation fleet{6};
    fleet.run(5_s);
    const auto before = status_of(fleet, 0, 2).incarnation;
    fleet.nodes[2]->up = false;
    REQUIRE(fleet.run(10_s, [&] { return all_see(fleet, 2, false); }));
    fleet.restart(2);
    REQUIRE(fleet.run(10_s, [&] { return all_see(fleet, 2, true); }));
    CHECK(status_of(fleet, 0, 2).incarnation > before);
}

// Guards against a daemon that starts during an outage and counts dead hosts as live until it has
// probed each of them.
TEST_CASE("a daemon that starts learns which listed hosts are dead") {
    simulation fleet{60};
    fleet.nodes[7]->up = false;
    fleet.run(20_s);
    REQUIRE(all_see(fleet, 7, false));
    fleet.restart(3);
    CHECK(fleet.run(10_s, [&] { return !sees(fleet, 3, 7); }));
}

// Guards against work sent to a host between its leave message and the end of its process.
TEST_CASE("a leaving host is removed from all fleets") {
    simulation fleet{6};
    fleet.run(5_s);
    fleet.act(2, [&](node& n, action_list& out) { n.members->leave(fleet.now, out); });
    CHECK_FALSE(sees(fleet, 2, 2));
    CHECK(fleet.run(2_s, [&] { return all_see(fleet, 2, false); }));
    fleet.run(20_s);
    CHECK(all_see(fleet, 2, false));
}

// Guards against a daemon that declares its peers dead when it resumes after a pause.
TEST_CASE("a daemon does not suspect its peers after a pause") {
    membership_fixture one;
    one.members->tick(at(6000), one.out);
    one.members->tick(at(6200), one.out);
    one.members->tick(at(60'000), one.out);
    for (const member_status& row : one.members->status()) {
        CHECK(row.state == liveness::alive);
    }
}

TEST_CASE("an empty host list removes no hosts") {
    membership_fixture one;
    one.members->on_host_list({}, at(1000), one.out);
    one.members->on_host_list({}, at(100'000), one.out);
    one.list.endpoints.clear();
    one.apply_list(at(200'000));
    CHECK(one.context.fleet->hosts().size() == 3);
    CHECK(one.context.fleet->endpoints().size() == 1);
}

// Guards against removing hosts because a list lags behind, and against never removing them.
TEST_CASE("a host is removed when it is absent from the list for 30 s") {
    membership_fixture one;
    one.list.hosts.pop_back();
    one.list.endpoints.push_back(one.list.endpoints[0]);
    one.list.endpoints[0].id = endpoint_id{"f"};
    one.list.endpoints.pop_back();
    one.apply_list(at(1000));
    CHECK(one.has("c"));
    one.apply_list(at(30'900));
    CHECK(one.has("c"));
    CHECK(one.context.fleet->endpoints().size() == 2);
    one.apply_list(at(31'000));
    CHECK_FALSE(one.has("c"));
    CHECK(one.context.fleet->endpoints().size() == 1);
}

TEST_CASE("a host heard before it is listed joins the fleet when it is listed") {
    membership_fixture one;
    one.members->on_ping(host_id{"d"}, {1, 7, 0, {}}, at(100), one.out);
    CHECK_FALSE(one.has("d"));
    one.list.hosts.push_back(membership_fixture::entry("d", 4));
    one.apply_list(at(200));
    CHECK(one.has("d"));
}

// Guards against endpoints owned by a host whose address was given to another host.
TEST_CASE("a host replaced at the same address is removed") {
    membership_fixture one;
    one.members->on_ping(host_id{"c"}, {1, 20, 0, {}}, at(100), one.out);
    one.list.hosts.push_back(membership_fixture::entry("d", 3));
    one.apply_list(at(200));
    CHECK(one.has("c"));
    one.members->on_ping(host_id{"d"}, {1, 30, 0, {}}, at(300), one.out);
    CHECK_FALSE(one.has("c"));
    CHECK(one.has("d"));
    one.list.hosts.erase(one.list.hosts.begin() + 2);
    one.apply_list(at(400));
    CHECK(one.members->status().size() == 2);
}

TEST_CASE("leaving hosts, including this one, are not in the fleet") {
    membership_fixture one;
    one.list.hosts[1].state = member_state::leaving;
    one.list.endpoints[0].state = member_state::leaving;
    one.apply_list(at(100));
    CHECK_FALSE(one.has("b"));
    CHECK(one.has("a"));
    CHECK(one.context.fleet->endpoints()[0].state == member_state::leaving);
    CHECK(one.members->take_changed());
    CHECK_FALSE(one.members->take_changed());
    one.list.hosts[0].state = member_state::leaving;
    one.apply_list(at(200));
    CHECK_FALSE(one.has("a"));
}

// Guards against declaring listed hosts dead before they have had time to start.
TEST_CASE("a listed host that was never heard counts as live for 5 s") {
    membership_fixture one;
    one.members->on_peer_failed({host_id{"b"}, endpoint_error::refused}, at(4900), one.out);
    CHECK(one.members->status()[0].state == liveness::alive);
    one.members->on_peer_failed({host_id{"b"}, endpoint_error::refused}, at(5000), one.out);
    CHECK(one.members->status()[0].state == liveness::suspect);
}
