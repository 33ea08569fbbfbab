#include "jasminelead/session_drain.h"

#include <catch2/catch.hpp>

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
