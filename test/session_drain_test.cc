#include "jasminelead/session_drain.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "session_fleet.h"

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

session_activity answered_at(instant at, bool has_run_statement) {
    session_activity activity;
    activity.has_run_statement = has_run_statement;
    activity.last_answer = at;
    return activity;
}

const instant answered = instant::from_ms(10'000);

}  // namespace

// Guards against closing a session between its startup and its first statement.
TEST_CASE("a new session of a draining host waits for its first statement") {
    const session_activity fresh = answered_at(answered, false);
    CHECK_FALSE(may_end_session(fresh, answered));
    CHECK_FALSE(may_end_session(fresh, answered + 300_ms));
    CHECK(may_end_session(fresh, answered + 500_ms));
}

TEST_CASE("an idle session of a draining host ends after a short pause") {
    const session_activity idle = answered_at(answered, true);
    CHECK_FALSE(may_end_session(idle, answered + 10_ms));
    CHECK(may_end_session(idle, answered + 50_ms));
}

// Guards against losing an answer to a TCP reset, which closing a socket with unread bytes causes.
TEST_CASE("a session with unread or running statements is not closed") {
    session_activity activity = answered_at(answered, true);
    activity.has_unread_bytes = true;
    CHECK_FALSE(may_end_session(activity, answered + 5_s));
    activity.has_unread_bytes = false;
    activity.is_working = true;
    CHECK_FALSE(may_end_session(activity, answered + 5_s));
}

// Load pattern: a host drains under load. Sessions with one statement arrive every 20 ms, and each
// statement arrives 55 ms after the answer to the startup. Every 20 ms the host closes the sessions
// that may end.
TEST_CASE("sessions opened while the host drains get an answer to their first statement") {
    constexpr duration step = 20_ms;
    constexpr duration statement_delay = 55_ms;
    for (int arrival = 0; arrival < 100; ++arrival) {
        const instant started = answered + step * arrival;
        const session_activity fresh = answered_at(started, false);
        for (instant now = started; now < started + statement_delay; now = now + step) {
            REQUIRE_FALSE(may_end_session(fresh, now));
        }
    }
}

// Guards against a connection that closes without an answer although its statement was sent nowhere
// (rule LOST): the caller cannot tell that it has not run.
TEST_CASE("a statement that waits for a primary is refused before a stop ends") {
    test::fleet all{1, 8, duration::from_ms(2000)};
    const char* const database = GENERATE("pay", "view");
    CAPTURE(database);
    test::caller session{all.port(), database};
    for (std::size_t i = 0; i < 3; ++i) {
        all.endpoint(i).crash();
    }
    all.daemon().stop_gracefully();
    std::this_thread::sleep_for(std::chrono::milliseconds{500});
    CHECK(session.query("READ k1").starts_with("ERROR BUSY"));
}

// Guards against the same for the caller of another host, whose statement waits at a gateway: it
// would get an unknown outcome for a write that has not run.
TEST_CASE("a write that waits at a gateway is passed on before the gateway stops") {
    test::fleet all{2, test::few_connections, duration::from_ms(1000)};
    test::wait_for_stable_routing();
    for (std::size_t host = 0; host < 2; ++host) {
        test::caller{all.port(host), "pay"}.query("WRITE warm v");
    }
    const bool is_first = all.daemon(0).counters().text().find("taken") != std::string::npos;
    const std::size_t gateway = is_first ? 0 : 1;
    test::caller session{all.port(1 - gateway), "pay"};
    all.endpoint(0).crash();
    std::string answer;
    std::thread waiting{[&] { answer = session.query("WRITE k v"); }};
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    all.daemon(gateway).stop_gracefully();
    waiting.join();
    CHECK(answer.starts_with("ERROR BUSY"));
    CHECK(all.runs("WRITE k v") == 0);
}
