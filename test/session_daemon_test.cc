#include "proxy/session_daemon.h"

#include "session_fleet.h"

using namespace jasminelead;
using namespace jasminelead::test;

TEST_CASE("a write is read on both routes") {
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

// Guards against sessions that see values and prepared statements of others.
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

// Guards against a write that is repeated although it ran: its caller pays twice.
TEST_CASE("a write whose answer is lost is unknown and not repeated") {
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

// Guards against a refusal that reaches the caller although the statement could still run.
TEST_CASE("a write that was refused as not run is tried again") {
    fleet all;
    caller pay{all.port(), "pay"};
    all.endpoint(0).refuse_next("WRITE", "BUSY");
    CHECK(pay.query("WRITE k6 v6").starts_with("DONE"));
    CHECK(all.runs("WRITE k6 v6") == 1);
}

// Guards against a caller that is told nothing was kept although its commit ran.
TEST_CASE("a commit whose answer is lost is unknown, a statement before it rolls back") {
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

TEST_CASE("a new version of the configuration is in force, an older one is not") {
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

// Guards against a primary that leaves while the group still writes to it.
TEST_CASE("a leaving primary is replaced and writes go on") {
    fleet all;
    caller pay{all.port(), "pay"};
    // A host that is new to the fleet replaces no primary for some seconds.
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

// Guards against an acknowledgement after the lease has ended, when the primary may be replaced.
TEST_CASE("without the store writes go on for a while, end with the lease and return with it") {
    fleet all;
    caller pay{all.port(), "pay"};
    CHECK(pay.query("WRITE k9 v1").starts_with("DONE"));
    all.platform().set_available(false);
    std::this_thread::sleep_for(std::chrono::milliseconds{2500});
    // The only registered host vouches for itself.
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

// Guards against statements that are cut off without an answer because their session was opened
// while the host already closed idle sessions.
TEST_CASE("a session opened late in a planned stop gets its first statement answered") {
    fleet all{1, 8, 3_s};
    // Keeps the host running.
    caller holder{all.port(), "pay"};
    holder.query("BEGIN");
    all.daemon().stop_gracefully();
    std::this_thread::sleep_for(std::chrono::milliseconds{1300});
    caller late{all.port(), "pay"};
    CHECK(late.first() == "READY I -|");
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    CHECK(late.query("WRITE k10 v10") == "DONE signed-by-i-a|READY I -|");
    // The session ends with its answer.
    CHECK(late.query("READ k10").ends_with("closed"));
}

// Guards against a transaction whose caller cannot tell whether its commit was received.
TEST_CASE("a transaction that is open for too long in a planned stop is told that it rolled back") {
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

/// Two hosts, of which only the first one has connections to the primary, which is at its limit.
struct full_primary {
    full_primary() {
        // The hosts learn of each other.
        std::this_thread::sleep_for(std::chrono::milliseconds{1500});
        all.endpoint(0).reopen_with_limit(2);
        for (int i = 0; i < 20; ++i) {
            first.query("READ warm");
        }
    }

    fleet all{2};
    caller first{all.port(with_connections), "pay"};
};

}  // namespace

// Guards against reads that need the primary only because this host has no connection there, and
// against writes that wait for one: after a restart of all hosts, connections of their earlier
// processes fill the primary's limit.
TEST_CASE("a host that a full primary has refused uses marks and connections of another") {
    full_primary f;
    // The host learns that the primary is full.
    caller{f.all.port(without_connections), "pay"}.query("READ warm");
    caller pay{f.all.port(without_connections), "pay"};
    CHECK(pay.query("WRITE m1 v1") == "DONE signed-by-i-a|READY I -|");
    CHECK(pay.query("READ m1") == "ROW v1|DONE signed-by-i-a|READY I -|");
    // The host's own marks are older than the route's bound by now.
    std::this_thread::sleep_for(std::chrono::milliseconds{1700});
    caller view{f.all.port(without_connections), "view"};
    for (int i = 0; i < 5; ++i) {
        CHECK_THAT(f.first.query("READ warm"), Catch::StartsWith("ROW"));
        CHECK_THAT(view.query("READ m1"), Catch::StartsWith("ROW v1|DONE signed-by-"));
    }
}

// Guards against a write that waits for its whole timeout although another host could run it.
TEST_CASE("a write that waits when a full primary refuses is passed to another host",
          "[known-red]") {
    full_primary f;
    caller pay{f.all.port(without_connections), "pay"};
    CHECK(pay.query("WRITE m2 v2") == "DONE signed-by-i-a|READY I -|");
}
