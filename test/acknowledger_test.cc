#include "jasminelead/acknowledger.h"

#include <catch2/catch.hpp>
#include <map>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const group_id shows{"shows"};
const endpoint_id a{"a"};
const endpoint_id b{"b"};
const endpoint_id c{"c"};

/// A group of three instances at term 2 whose primary is `a`, owned by this daemon.
struct fixture {
    fixture() {
        std::vector<endpoint_entry> endpoints;
        for (const endpoint_id& id : {a, b, c}) {
            endpoints.push_back({id, shows, data_centre_id{"x"}, "", member_state::live});
        }
        const host_entry host{host_id{"host"}, data_centre_id{"x"}, "", member_state::live};
        context.self = host.id;
        context.checks = &checks;
        context.fleet = std::make_shared<directory>(std::vector{host}, endpoints);
        action_list out;
        groups.on_fleet_changed(now, out);
        groups.on_view(shows, {2, a}, now, out);
    }

    acknowledger::ticket submit(log_position position, duration deadline = 500_ms) {
        action_list out;
        const auto id = acks.submit(shows, a, {2, 2, position, endpoint_role::primary},
                                    now + deadline, now, out);
        collect(out);
        return id;
    }
    void answer(const endpoint_id& from, position_stamp stamp, term_number synced = 2) {
        endpoint_state state;
        state.stamp = stamp;
        state.terms.push({synced, 0});
        reply(from, control_result{true, state});
    }
    void reply(const endpoint_id& from, std::variant<control_result, endpoint_error> answer) {
        REQUIRE(calls.contains(from));
        const call_id id = calls.at(from);
        calls.erase(from);
        action_list out;
        acks.on_control({id, from, std::move(answer)}, now, out);
        collect(out);
    }
    void run(duration time) {
        const instant end = now + time;
        while (acks.next_wakeup().value_or(instant::max()) <= end) {
            now = *acks.next_wakeup();
            action_list out;
            acks.tick(now, out);
            collect(out);
            REQUIRE(acks.next_wakeup().value_or(instant::max()) > now);
        }
        now = end;
    }
    void collect(const action_list& out) {
        for (const action& act : out) {
            const auto* call = std::get_if<control_call>(&act);
            if (call != nullptr && call->id.module == call_module::acknowledger) {
                REQUIRE(std::holds_alternative<status_query>(call->request));
                calls[call->endpoint] = call->id;
                ++sent[call->endpoint];
            }
        }
    }
    std::map<acknowledger::ticket, bool> results() {
        std::map<acknowledger::ticket, bool> all;
        for (const auto& result : acks.take_results()) {
            REQUIRE(all.emplace(result.id, result.confirmed).second);
        }
        return all;
    }
    void set_durability(durability wanted) {
        auto config = std::make_shared<table>();
        config->groups[shows].acknowledge = wanted;
        context.config = config;
    }

    static position_stamp primary_at(log_position position) {
        return {2, 2, position, endpoint_role::primary};
    }
    static position_stamp replica_at(log_position position) {
        return {2, 2, position, endpoint_role::replica};
    }

    instant now = instant::from_ms(1000);
    invariants checks{true};
    core_context context;
    failover groups{context};
    acknowledger acks{context, groups};
    std::map<endpoint_id, call_id> calls;
    std::map<endpoint_id, int> sent;
};

using results_map = std::map<acknowledger::ticket, bool>;

}  // namespace

TEST_CASE("a write is confirmed by the primary and a replica that applied it") {
    // Guards against an acknowledgement without a majority or without the primary.
    fixture f;
    const auto id = f.submit(5);
    f.answer(b, f.replica_at(5));
    f.answer(c, f.replica_at(5));
    CHECK(f.results().empty());
    f.answer(a, f.primary_at(5));
    CHECK(f.results() == results_map{{id, true}});
}

TEST_CASE("an answer confirms only writes executed before the status call was sent") {
    // Guards against confirming a write with an answer from before its execution.
    fixture f;
    const auto first = f.submit(5);
    const auto second = f.submit(6);
    f.answer(a, f.primary_at(6));
    f.answer(b, f.replica_at(6));
    CHECK(f.results() == results_map{{first, true}});
    CHECK(f.sent[b] == 2);
    f.answer(a, f.primary_at(6));
    f.answer(b, f.replica_at(6));
    CHECK(f.results() == results_map{{second, true}});
}

TEST_CASE("a replica that is behind is polled with exponential backoff") {
    // Guards against a busy loop and against a write that waits for a call that is never sent.
    fixture f;
    const auto id = f.submit(5);
    f.answer(a, f.primary_at(5));
    f.answer(b, f.replica_at(4));
    CHECK_FALSE(f.calls.contains(b));
    f.run(2_ms);
    f.answer(b, f.replica_at(4));
    f.run(3_ms);
    CHECK_FALSE(f.calls.contains(b));
    f.run(1_ms);
    f.answer(b, f.replica_at(5));
    CHECK(f.results() == results_map{{id, true}});
}

TEST_CASE("a position of an older log does not confirm a write") {
    // Guards against counting a replica whose log of an older term reaches the write's position.
    fixture f;
    f.submit(5);
    f.answer(a, f.primary_at(5));
    f.answer(b, {2, 1, 9, endpoint_role::replica}, 1);
    CHECK(f.results().empty());
    f.answer(c, {2, 1, 9, endpoint_role::replica}, 2);
    CHECK(f.results().size() == 1);
}

TEST_CASE("with durability primary only the term is confirmed") {
    // Guards against waiting for replicas although the group's durability does not require it.
    fixture f;
    f.set_durability(durability::primary);
    const auto id = f.submit(5);
    f.answer(a, f.primary_at(5));
    f.answer(b, f.replica_at(1));
    CHECK(f.results() == results_map{{id, true}});
}

TEST_CASE("a higher term at any instance refuses the confirmation") {
    // Guards against an acknowledgement by a superseded primary.
    fixture f;
    const auto id = f.submit(5);
    f.answer(b, {3, 2, 5, endpoint_role::replica});
    CHECK(f.results() == results_map{{id, false}});
    const auto late = f.submit(6);
    CHECK(f.results() == results_map{{late, false}});
}

TEST_CASE("an answer that is older than its timeout confirms nothing") {
    // Guards against confirming writes after a pause of the daemon delayed the answer.
    fixture f;
    f.submit(5);
    f.now = f.now + 200_ms;
    f.answer(a, f.primary_at(5));
    f.answer(b, f.replica_at(5));
    CHECK(f.results().empty());
}

TEST_CASE("an unanswered call is repeated after its timeout") {
    // Guards against a lost answer that blocks all later writes.
    fixture f;
    const auto id = f.submit(5);
    f.run(180_ms);
    CHECK(f.sent[b] == 2);
    f.reply(b, endpoint_error::reset);
    f.run(20_ms);
    CHECK(f.sent[b] == 3);
    f.answer(a, f.primary_at(5));
    f.answer(b, f.replica_at(5));
    CHECK(f.results() == results_map{{id, true}});
}

TEST_CASE("a group without confirmations loses and regains its majority") {
    // Guards against a group that keeps refusing writes after its majority is back.
    fixture f;
    CHECK(f.acks.has_majority(shows, f.now));
    const auto id = f.submit(5);
    f.run(400_ms);
    const auto next = f.submit(6);
    f.run(590_ms);
    CHECK(f.results() == results_map{{id, false}, {next, false}});
    CHECK(f.acks.has_majority(shows, f.now));
    f.run(20_ms);
    CHECK_FALSE(f.acks.has_majority(shows, f.now));
    f.run(140_ms);
    f.answer(a, f.primary_at(6));
    f.answer(c, f.replica_at(6));
    CHECK(f.acks.has_majority(shows, f.now));
    CHECK(f.results().empty());
    CHECK_FALSE(f.acks.next_wakeup() < f.now);
}

// Guards against a group that refuses all writes because a fenced instance was registered as the
// primary of its new term (found with soak seed 190).
TEST_CASE("a fenced instance is not registered as the primary of its new term") {
    fixture f;
    action_list out;
    const position_stamp fenced{2, 1, 10, endpoint_role::replica};
    f.acks.submit(shows, b, fenced, f.now + 500_ms, f.now, out);
    const auto write = f.submit(10);
    f.answer(a, fixture::primary_at(10));
    f.answer(c, fixture::replica_at(10));
    CHECK(f.results().at(write));
}
