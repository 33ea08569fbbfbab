#include "proxy/session_daemon.h"

#include <future>

#include "session_fleet.h"

using namespace jasminelead;
using namespace jasminelead::test;

TEST_CASE("a write is visible to reads on both routes") {
    fleet all;
    caller pay{all.port(), "pay"};
    CHECK(pay.query("WRITE k1 v1") == "DONE signed-by-i-a|READY I -|");
    CHECK(pay.query("READ k1") == "ROW v1|DONE signed-by-i-a|READY I -|");
    caller view{all.port(), "view"};
    CHECK(view.query("READ k1").starts_with("ROW v1|DONE signed-by-"));
}

TEST_CASE("a database without a route is refused") {
    fleet all;
    CHECK(caller{all.port(), "none"}.first() == "ERROR NODB none|closed");
}

// Guards against a session seeing values or prepared statements that another session set on a
// shared connection.
TEST_CASE("sessions keep their own values and names on shared connections") {
    fleet all;
    caller one{all.port(), "pay"};
    caller two{all.port(), "pay"};
    CHECK(one.query("SET lang es") == "DONE -|READY I -|");
    CHECK(one.query("PREPARE s1 WRITE shape1") == "DONE -|READY I -|");
    CHECK(two.query("PREPARE s1 READ shape2") == "DONE -|READY I -|");
    CHECK(one.query("EXECUTE s1 k2 v2") == "DONE signed-by-i-a|READY I -|");
    CHECK(two.query("EXECUTE s1 k2") == "ROW v2|DONE signed-by-i-a|READY I -|");
    CHECK(two.query("EXECUTE s2 k2") == "ERROR NOSTMT s2|READY I -|");
    CHECK(all.runs("SET lang es") >= 1);
}

TEST_CASE("a transaction commits and rolls back") {
    fleet all;
    caller pay{all.port(), "pay"};
    CHECK(pay.query("BEGIN") == "DONE -|READY T -|");
    CHECK(pay.query("WRITE k3 v3") == "DONE signed-by-i-a|READY T -|");
    CHECK(pay.query("READ k3") == "ROW v3|DONE signed-by-i-a|READY T -|");
    CHECK(pay.query("COMMIT") == "DONE signed-by-i-a|READY I -|");
    CHECK(pay.query("BEGIN") == "DONE -|READY T -|");
    CHECK(pay.query("WRITE k3 other").starts_with("DONE"));
    CHECK(pay.query("ROLLBACK") == "DONE -|READY I -|");
    CHECK(pay.query("READ k3").starts_with("ROW v3|"));
}

// Guards against applying a write twice: without an answer it may have run, so that it must not be
// repeated.
TEST_CASE("a write whose answer is lost has an unknown outcome and is not repeated") {
    fleet all;
    caller pay{all.port(), "pay"};
    all.endpoint(0).drop_next_response("WRITE");
    CHECK(pay.query("WRITE k4 v4").starts_with("ERROR UNKNOWN"));
    CHECK(all.runs("WRITE k4 v4") == 1);
}

TEST_CASE("a read whose answer is lost is repeated") {
    fleet all;
    caller pay{all.port(), "pay"};
    all.endpoint(0).drop_next_response("READ");
    CHECK(pay.query("READ k5").starts_with("ROW none|DONE"));
}

// Guards against reporting a refusal to the caller although a retry would succeed.
TEST_CASE("a write that an endpoint refused without running it is retried") {
    fleet all;
    caller pay{all.port(), "pay"};
    all.endpoint(0).refuse_next("WRITE", "BUSY");
    CHECK(pay.query("WRITE k6 v6").starts_with("DONE"));
    CHECK(all.runs("WRITE k6 v6") == 1);
}

// Guards against reporting a rollback although the commit ran.
TEST_CASE("a lost answer to a commit is an unknown outcome, to an earlier statement a rollback") {
    fleet all;
    caller pay{all.port(), "pay"};
    pay.query("BEGIN");
    pay.query("WRITE k7 v7");
    all.endpoint(0).drop_next_response("COMMIT");
    CHECK(pay.query("COMMIT").starts_with("ERROR UNKNOWN"));
    pay.query("BEGIN");
    all.endpoint(0).drop_next_response("WRITE");
    CHECK(pay.query("WRITE k7 other") ==
          "ERROR ABORTED the connection was lost; rolled back|READY E -|");
    CHECK(pay.query("READ k7").starts_with("ERROR MALFORMED"));
    CHECK(pay.query("ROLLBACK") == "DONE -|READY I -|");
    CHECK(pay.query("READ k7").starts_with("ROW v7|"));
}

TEST_CASE("a newer configuration version is applied, an older one is ignored") {
    fleet all;
    all.platform().put("op/config", config_text(5));
    const auto renamed = [](std::string text) {
        return text.replace(text.find("\"view\""), 6, "\"list\"");
    };
    all.platform().put("op/config", renamed(config_text(9)));
    bool served = false;
    for (int i = 0; i < 100 && !served; ++i) {
        served = caller{all.port(), "list"}.first() == "READY I -|";
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    CHECK(served);
    all.platform().put("op/config", config_text(4));
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
    CHECK(caller{all.port(), "list"}.first() == "READY I -|");
}

// Guards against a primary shutting down while the group still sends its writes there.
TEST_CASE("a draining primary is replaced and writes continue") {
    fleet all;
    caller pay{all.port(), "pay"};
    // A newly started host performs no failover for some seconds.
    std::this_thread::sleep_for(std::chrono::milliseconds{8500});
    all.list(all.endpoint(0), "primary", "draining");
    std::string answer;
    for (int i = 0; i < 60 && answer.find("signed-by-i-a") != std::string::npos || i == 0; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
        answer = pay.query("WRITE k8 v8");
        REQUIRE(answer.starts_with("DONE"));
    }
    CHECK(answer.find("signed-by-i-a") == std::string::npos);
    CHECK(all.platform().promotions() == 1);
}

// Guards against acknowledging writes after the lease expired, when another primary may be in use.
TEST_CASE("without the store writes continue until the lease expires, and resume with the store") {
    fleet all;
    caller pay{all.port(), "pay"};
    CHECK(pay.query("WRITE k9 v1").starts_with("DONE"));
    all.platform().set_available(false);
    std::this_thread::sleep_for(std::chrono::milliseconds{2500});
    // The only registered host needs no confirmation by peers.
    CHECK(pay.query("WRITE k9 v2").starts_with("DONE"));
    std::this_thread::sleep_for(std::chrono::milliseconds{6500});
    CHECK(caller{all.port(), "pay"}.query("WRITE k9 v2").starts_with("ERROR BUSY"));
    all.platform().set_available(true);
    std::string answer = "ERROR";
    for (int i = 0; i < 20 && answer.starts_with("ERROR"); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        caller again{all.port(), "pay"};
        answer = again.query("WRITE k9 v3");
    }
    CHECK(answer.starts_with("DONE"));
}

// Load pattern: the store is down while one host restarts. Guards against an outage of all groups
// because one host cannot be asked.
TEST_CASE("without the store writes continue while one of four hosts is down") {
    fleet all{4};
    // A new host names no granters before it may replace primaries.
    std::this_thread::sleep_for(std::chrono::milliseconds{11'000});
    all.daemon(3).stop_gracefully();
    all.daemon(3).wait_stopped();
    all.platform().set_available(false);
    caller pay{all.port(), "pay"};
    for (int i = 0; i < 30; ++i) {
        CHECK(pay.query("WRITE k13 v" + std::to_string(i)).starts_with("DONE"));
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
    }
}

// Guards against a statement that gets no answer because its session was opened while the stopping
// host already closes idle sessions.
TEST_CASE("the first statement of a session opened during a graceful stop is answered") {
    fleet all{1, 8, 3_s};
    // The open transaction keeps the host running.
    caller holder{all.port(), "pay"};
    holder.query("BEGIN");
    all.daemon().stop_gracefully();
    std::this_thread::sleep_for(std::chrono::milliseconds{1300});
    caller late{all.port(), "pay"};
    CHECK(late.first() == "READY I -|");
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    CHECK(late.query("WRITE k10 v10") == "DONE signed-by-i-a|READY I -|");
    // The connection closes after an answer, unless the next statement has arrived by then: that
    // one is answered as well.
    const auto end_of_grace = std::chrono::steady_clock::now() + std::chrono::seconds{3};
    std::string answer = late.query("READ k10");
    while (answer != "closed" && std::chrono::steady_clock::now() < end_of_grace) {
        CHECK(answer.starts_with("ROW v10|DONE"));
        answer = late.query("READ k10");
    }
    CHECK(answer == "closed");
}

// Guards against a process that never exits: its attempts to reach an endpoint again went on after
// the stop.
TEST_CASE("a daemon stops while an endpoint is unreachable") {
    auto all = std::make_unique<fleet>();
    caller pay{all->port(), "pay"};
    all->endpoint(0).crash();
    CHECK(pay.query("READ k12").starts_with("ERROR"));
    std::promise<void> destroyed;
    auto done = destroyed.get_future();
    std::thread{[all = std::move(all), destroyed = std::move(destroyed)]() mutable {
        all.reset();
        destroyed.set_value();
    }}.detach();
    CHECK(done.wait_for(std::chrono::seconds{10}) == std::future_status::ready);
}

// Guards against closing a transaction's connection without an answer, so that its caller cannot
// tell whether the commit was received.
TEST_CASE("the caller of a transaction that a graceful stop rolls back is told so") {
    fleet all{1, 8, 2_s};
    caller pay{all.port(), "pay"};
    pay.query("BEGIN");
    CHECK(pay.query("WRITE k11 v11").starts_with("DONE"));
    all.daemon().stop_gracefully();
    std::this_thread::sleep_for(std::chrono::milliseconds{1200});
    CHECK(pay.query("READ k11").starts_with("ERROR ABORTED"));
    CHECK(pay.query("COMMIT").starts_with("ERROR ABORTED"));
    CHECK(all.runs("COMMIT") == 0);
}

namespace {

constexpr std::size_t with_connections = 0;
constexpr std::size_t without_connections = 1;

/// Two hosts and a primary at its connection limit. Only the first host has connections to it.
struct full_primary {
    full_primary() {
        wait_for_stable_routing();
        all.endpoint(0).reopen_with_limit(2);
        for (int i = 0; i < 20; ++i) {
            first.query("READ warm");
        }
    }

    fleet all{2};
    caller first{all.port(with_connections), "pay"};
};

}  // namespace

// Guards against reads that fall back to the primary, and writes that wait, only because this host
// cannot connect to it. After a restart of all hosts, connections of their earlier processes use up
// the primary's limit.
TEST_CASE(
    "a host without connections to a full primary uses marks and connections of another host") {
    full_primary f;
    // A refused connection tells the host that the primary is full.
    caller{f.all.port(without_connections), "pay"}.query("READ warm");
    caller pay{f.all.port(without_connections), "pay"};
    CHECK(pay.query("WRITE m1 v1") == "DONE signed-by-i-a|READY I -|");
    CHECK(pay.query("READ m1") == "ROW v1|DONE signed-by-i-a|READY I -|");
    // Afterwards all marks of the host itself are older than the route's staleness bound.
    std::this_thread::sleep_for(std::chrono::milliseconds{1700});
    caller view{f.all.port(without_connections), "view"};
    for (int i = 0; i < 5; ++i) {
        CHECK_THAT(f.first.query("READ warm"), Catch::StartsWith("ROW"));
        CHECK_THAT(view.query("READ m1"), Catch::StartsWith("ROW v1|DONE signed-by-"));
    }
}

// Guards against a write that waits until its timeout although another host could run it.
TEST_CASE("a write that waits when a full primary refuses is passed to another host") {
    full_primary f;
    caller pay{f.all.port(without_connections), "pay"};
    CHECK(pay.query("WRITE m2 v2") == "DONE signed-by-i-a|READY I -|");
}

// Guards against other hosts contacting the address behind a port forwarder: the record must hold
// the advertised address, while the daemon listens on its own.
TEST_CASE("the record of a host holds the advertised address of its peer interface") {
    support::session_platform platform;
    proxy::settings options;
    options.host = host_id{"h1"};
    options.data_centre = data_centre_id{"dc"};
    options.listen = "127.0.0.1:0";
    options.readiness = free_address();
    options.address = "127.0.0.1";
    options.peer = free_address();
    options.peer_advertised = free_address();
    options.store = platform.address();
    options.stop_grace = 400_ms;
    proxy::session_daemon daemon{options};
    REQUIRE_FALSE(daemon.start());
    const std::string key = proxy::host_key(options.host);
    for (int i = 0; i < 500 && !platform.value(key); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    const auto record = proxy::decode_host_record(platform.value(key).value_or(""));
    REQUIRE(record);
    CHECK(record->peer_address == options.peer_advertised);
    const auto listening = jasminelead::daemon::parse_address(options.peer);
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket{io};
    CHECK_NOTHROW(socket.connect(*listening));
}
