#include "jasminelead/router.h"

#include <catch2/catch.hpp>
#include <map>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const group_id group{"g"};
const endpoint_id a{"a"};  // The primary.
const endpoint_id b{"b"};
const endpoint_id c{"c"};

instant ms(double at) {
    return instant::from_ms(at);
}

position_stamp replica(log_position position) {
    return {1, 1, position, endpoint_role::replica};
}

struct fixture {
    core_context context;
    freshness marks;
    group_view view{1, a};
    term_history terms;
    std::mt19937_64 random{7};
    table config;

    fixture() {
        context.data_centre = data_centre_id{"d1"};
        set_fleet(member_state::live);
        set_config();
    }
    void set_fleet(member_state state_of_b) {
        const data_centre_id near{"d1"};
        context.fleet = std::make_shared<directory>(
            std::vector<host_entry>{{host_id{"h"}, near, "", member_state::live}},
            std::vector<endpoint_entry>{{a, group, near, "", member_state::live},
                                        {b, group, near, "", state_of_b},
                                        {c, group, near, "", member_state::live}});
    }
    void set_config() { context.config = std::make_shared<table>(config); }
    void mark(log_position position, instant sent) {
        marks.record(group, {1, 1, position, endpoint_role::primary}, sent);
    }
    read_requirements read(duration max_age, const session_entry* session = nullptr) const {
        return {.group = group,
                .view = view,
                .terms = terms,
                .session = session,
                .max_age = max_age,
                .remaining = 1_s};
    }
    std::map<endpoint_id, int> shares(router& routes, instant now, int reads = 4000) {
        std::map<endpoint_id, int> chosen;
        for (int i = 0; i < reads; ++i) {
            const route found = routes.choose(read(2_s), now, random);
            ++chosen[std::get<route_choice>(found).endpoint->id];
        }
        return chosen;
    }
};

const endpoint_id& endpoint_of(const route& found) {
    return std::get<route_choice>(found).endpoint->id;
}

}  // namespace

TEST_CASE_METHOD(fixture, "bounded-stale reads are spread over the replicas") {
    router routes{context, marks};
    mark(10, ms(0));
    const auto chosen = shares(routes, ms(10));
    CHECK(chosen.count(a) == 0);
    CHECK(chosen.at(b) > 1'500);
    CHECK(chosen.at(c) > 1'500);
}

TEST_CASE_METHOD(
    fixture, "replicas with weight 0 or in state leaving get no reads, and changes take effect") {
    router routes{context, marks};
    mark(10, ms(0));
    config.endpoints[c] = {group, 0, 20, 3};
    set_config();
    CHECK(shares(routes, ms(10), 100).count(c) == 0);
    set_fleet(member_state::leaving);
    const route found = routes.choose(read(2_s), ms(10), random);
    CHECK(endpoint_of(found) == a);
}

TEST_CASE_METHOD(fixture, "a replica with three times the weight gets most of the reads") {
    router routes{context, marks};
    mark(10, ms(0));
    config.endpoints[b] = {group, 300, 20, 3};
    set_config();
    CHECK(shares(routes, ms(10)).at(b) > 2'800);
}

TEST_CASE_METHOD(
    fixture, "reads move away from a replica with more requests in flight or a higher latency") {
    router routes{context, marks};
    mark(10, ms(0));
    for (int i = 0; i < 5; ++i) {
        routes.on_sent(b);
    }
    CHECK(shares(routes, ms(10)).at(c) > 2'800);
}

TEST_CASE_METHOD(fixture, "an error halves the health of an endpoint, and it recovers over time") {
    router routes{context, marks};
    routes.on_sent(b);
    routes.on_error(b, ms(0));
    CHECK(routes.health(b, ms(0)) == Approx(0.5));
    CHECK(routes.health(b, ms(100)) == Approx(0.55));
    CHECK(routes.health(b, ms(20'000)) == Approx(1));
    CHECK(routes.in_flight(b) == 0);
    routes.on_sent(c);
    routes.on_answer(c, 2_ms, ms(0));
    routes.on_sent(c);
    routes.on_answer(c, 100_ms, ms(0));
    CHECK(routes.health(c, ms(0)) == Approx(0.5));
}

TEST_CASE_METHOD(fixture, "a read with age 0 goes to the primary with a confirmed term") {
    router routes{context, marks};
    mark(10, ms(0));
    const route found = routes.choose(read(0_ms), ms(1), random);
    CHECK(endpoint_of(found) == a);
    CHECK(std::get<route_choice>(found).confirm);
    view.primary = endpoint_id{};
    CHECK(std::get<reason>(routes.choose(read(0_ms), ms(1), random)) == reason::no_primary);
}

TEST_CASE_METHOD(fixture, "without a freshness mark, a confirmed read of the primary creates one") {
    router routes{context, marks};
    const route found = routes.choose(read(2_s), ms(0), random);
    CHECK(endpoint_of(found) == a);
    CHECK(std::get<route_choice>(found).cause == route_cause::mark_refresh);
    CHECK(std::get<route_choice>(found).confirm);
    // Other reads use the old mark until it is renewed.
    mark(10, ms(0));
    CHECK(endpoint_of(routes.choose(read(2_s), ms(1'600), random)) == a);
    CHECK(endpoint_of(routes.choose(read(2_s), ms(1'700), random)) != a);
    view.primary = endpoint_id{};
    CHECK(std::get<reason>(routes.choose(read(2_s), ms(2'100), random)) ==
          reason::no_endpoint_fresh_enough);
}

TEST_CASE_METHOD(fixture, "a session is routed to a replica that is known to have its write") {
    router routes{context, marks};
    const session_entry session{group, 1, 20};
    mark(10, ms(0));
    routes.on_stamp(b, replica(20), ms(50), ms(50));
    routes.on_stamp(c, replica(19), ms(50), ms(50));
    auto strict = read(2_s, &session);
    strict.expect = false;
    for (int i = 0; i < 20; ++i) {
        CHECK(endpoint_of(routes.choose(strict, ms(60), random)) == b);
    }
}

TEST_CASE_METHOD(fixture, "a read waits briefly for a replica that is about to catch up") {
    router routes{context, marks};
    mark(10, ms(100));
    mark(20, ms(110));
    for (const endpoint_id& each : {b, c}) {
        routes.on_stamp(each, replica(19), ms(118), ms(118));  // 8 ms behind.
    }
    mark(30, ms(120));
    const session_entry session{group, 1, 30};
    const route found = routes.choose(read(2_s, &session), ms(121), random);
    REQUIRE(std::holds_alternative<route_wait>(found));
    CHECK(std::get<route_wait>(found).until == ms(128));
    CHECK(endpoint_of(routes.choose(read(2_s, &session), ms(128), random)) != a);
    auto short_of_time = read(2_s, &session);
    short_of_time.remaining = 20_ms;
    CHECK(endpoint_of(routes.choose(short_of_time, ms(121), random)) == a);
    auto waited = read(2_s, &session);
    waited.may_wait = false;
    CHECK(endpoint_of(routes.choose(waited, ms(121), random)) == a);
}

TEST_CASE_METHOD(fixture, "the apply rate predicts when a position without a mark is reached") {
    router routes{context, marks};
    mark(10, ms(0));
    routes.on_stamp(b, replica(100), ms(100), ms(100));
    routes.on_stamp(b, replica(200), ms(110), ms(110));
    const session_entry session{group, 1, 220};
    const auto wait = routes.catch_up_time(read(2_s, &session), ms(110));
    REQUIRE(wait);
    CHECK(wait->ms() == Approx(10));  // 20 positions at an initial average of 2 per ms.
}

TEST_CASE_METHOD(fixture,
                 "a replica too far behind leaves at the limit and returns at half of it") {
    router routes{context, marks};
    config.groups[group] = {1_s, durability::replica};
    set_config();
    const auto uses_b = [&](instant now) { return shares(routes, now, 50).count(b) > 0; };
    mark(10, ms(0));
    mark(20, ms(100));
    mark(30, ms(1'400));
    routes.on_stamp(c, replica(30), ms(1'400), ms(1'400));
    routes.on_stamp(b, replica(10), ms(1'400), ms(1'400));  // 1,300 ms behind.
    CHECK_FALSE(uses_b(ms(1'410)));
    mark(40, ms(2'000));
    routes.on_stamp(b, replica(30), ms(2'100), ms(2'100));  // At most 700 ms behind.
    CHECK_FALSE(uses_b(ms(2'110)));
    routes.on_stamp(b, replica(40), ms(2'200), ms(2'200));  // At most 200 ms behind.
    CHECK(uses_b(ms(2'210)));
}

TEST_CASE_METHOD(fixture, "an excluded replica gets one read to refresh an outdated state") {
    // Guards against a replica that catches up but is never used again.
    router routes{context, marks};
    config.endpoints[c] = {group, 0, 20, 3};
    set_config();
    const session_entry session{group, 1, 20};
    mark(10, ms(0));
    mark(20, ms(1'000));
    routes.on_stamp(b, replica(9), ms(1'000), ms(1'000));
    CHECK(endpoint_of(routes.choose(read(2_s, &session), ms(1'100), random)) == a);
    const route found = routes.choose(read(2_s, &session), ms(1'600), random);
    CHECK(std::get<route_choice>(found).cause == route_cause::old_state);
    CHECK(endpoint_of(routes.choose(read(2_s, &session), ms(1'610), random)) == a);
}

TEST_CASE_METHOD(fixture, "the policy primary_only uses no replica") {
    router routes{context, marks, "primary_only"};
    mark(10, ms(0));
    CHECK(shares(routes, ms(10), 50).at(a) == 50);
    CHECK(router::has_policy("primary_only"));
    CHECK_FALSE(router::has_policy("other"));
}
