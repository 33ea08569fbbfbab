#include "jasminelead/endpoint_claim.h"

#include <catch2/catch.hpp>

#include "endpoint_model.h"

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

using change = endpoint_claim::change;

const endpoint_entry entry{endpoint_id{"shows-1-a"}, group_id{"shows-1"}, data_centre_id{"a"}, "",
                           member_state::live};

struct claimant {
    explicit claimant(const char* name) { context.self = host_id{name}; }

    /// Sends the call that is due and lets the endpoint answer it; a null endpoint does not answer.
    change step(support::endpoint_model* endpoint, instant now) {
        action_list out;
        claim.advance(context, true, last_call, now, out);
        if (out.empty()) {
            return change::none;
        }
        const auto& call = std::get<control_call>(out.front());
        control_answered answered{call.id, call.endpoint, endpoint_error::timeout};
        if (endpoint != nullptr) {
            answered.answer = endpoint->control(call.request, now);
        }
        return claim.on_answer(context, answered, now);
    }

    core_context context;
    endpoint_claim claim{entry.id};
    std::uint64_t last_call = 0;
};

/// Time until the claim is acquired, with one step at each wake-up of the daemon.
duration time_to_claim(claimant& by, support::endpoint_model& endpoint, instant from) {
    instant now = from;
    for (int i = 0; i < 1000; ++i) {
        if (by.step(&endpoint, now) == change::acquired) {
            return now - from;
        }
        now = std::max(now, *by.claim.next_wakeup(true));
    }
    return duration::max();
}

void claim_fully(claimant& by, support::endpoint_model& endpoint, instant now) {
    CHECK(by.step(&endpoint, now) == change::none);
    REQUIRE(by.step(&endpoint, now) == change::acquired);
}

}  // namespace

TEST_CASE("a claim uses the epoch that the endpoint reports") {
    support::endpoint_model endpoint{entry, endpoint_role::primary, {}};
    REQUIRE(endpoint.control(claim_request{0, host_id{"gone"}}, {}).accepted);
    claimant x{"x"};
    claim_fully(x, endpoint, {});
    CHECK(x.claim.epoch() == 2);
    CHECK_FALSE(x.claim.next_wakeup(true));
}

// Guards against a flood of control calls to an endpoint that does not answer.
TEST_CASE("failed calls are retried with a backoff of at most 1 s") {
    claimant x{"x"};
    instant now;
    for (int i = 0; i < 12; ++i) {
        CHECK(x.step(nullptr, now) == change::none);
        const duration wait = *x.claim.next_wakeup(true) - now;
        CHECK(wait >= 25_ms);
        CHECK(wait <= 1_s);
        CHECK((i < 6 || wait >= 500_ms));
        now = now + wait;
    }
}

// Guards against two daemons that keep displacing each other.
TEST_CASE("a displaced daemon waits 2 s, doubled up to 30 s") {
    support::endpoint_model endpoint{entry, endpoint_role::primary, {}};
    claimant x{"x"};
    instant now;
    for (const double hold_down : {2000, 4000, 8000, 16000, 30000, 30000}) {
        if (!x.claim.held()) {
            claim_fully(x, endpoint, now);
        }
        const epoch_number epoch = x.claim.epoch();
        REQUIRE(endpoint.control(claim_request{epoch, host_id{"y"}}, now).accepted);
        x.claim.verify();
        CHECK(x.step(&endpoint, now) == change::displaced);
        CHECK(time_to_claim(x, endpoint, now) == duration::from_ms(hold_down));
        now = now + duration::from_ms(hold_down);
    }
    now = now + 60_s;
    REQUIRE(endpoint.control(claim_request{x.claim.epoch(), host_id{"y"}}, now).accepted);
    x.claim.displace(now);
    CHECK(time_to_claim(x, endpoint, now) == 2_s);
}

// Guards against an endpoint that has no owner for up to 30 s after a partition has healed.
TEST_CASE("a released claim ends the hold-down") {
    support::endpoint_model endpoint{entry, endpoint_role::primary, {}};
    claimant x{"x"};
    claim_fully(x, endpoint, {});
    REQUIRE(endpoint.control(claim_request{1, host_id{"y"}}, {}).accepted);
    x.claim.displace({});
    REQUIRE(endpoint.control(release_request{2}, {}).accepted);
    CHECK(time_to_claim(x, endpoint, {}) <= 250_ms);
}

// Guards against a new owner that interrupts work of the old owner.
TEST_CASE("a claim waits for a live or leaving holder, but not for a dead one") {
    support::endpoint_model endpoint{entry, endpoint_role::primary, {}};
    REQUIRE(endpoint.control(claim_request{0, host_id{"old"}}, {}).accepted);
    REQUIRE_FALSE(endpoint.connect(1, 1));
    claimant x{"x"};
    x.context.leaving.insert(host_id{"old"});
    CHECK(x.step(&endpoint, {}) == change::none);
    CHECK(x.step(&endpoint, {}) == change::none);
    CHECK(x.claim.next_wakeup(true) == instant::from_ms(100));
    CHECK(x.claim.holder() == host_id{"old"});
    SECTION("until it releases the claim") {
        REQUIRE(endpoint.control(release_request{1}, {}).accepted);
        claim_fully(x, endpoint, instant::from_ms(100));
    }
    SECTION("until it is known to be dead") {
        x.context.leaving.clear();
        claim_fully(x, endpoint, instant::from_ms(100));
    }
    SECTION("until it has no connections") {
        endpoint.disconnect(1);
        claim_fully(x, endpoint, instant::from_ms(100));
    }
    SECTION("at most 11 s") {
        claim_fully(x, endpoint, instant::from_ms(11'000));
    }
}

// Guards against a late release that removes the claim of the next owner.
TEST_CASE("a release applies only to its own epoch") {
    support::endpoint_model endpoint{entry, endpoint_role::primary, {}};
    claimant x{"x"};
    claim_fully(x, endpoint, {});
    REQUIRE(endpoint.control(claim_request{1, host_id{"y"}}, {}).accepted);
    x.claim.release(x.context, {});
    x.step(&endpoint, {});
    CHECK(x.claim.inactive());
    CHECK(endpoint.state({}).owner == host_id{"y"});
}
