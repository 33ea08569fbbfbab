#include "jasminelead/totals.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const group_id group{"shows-1"};
const service_id service{"fees"};

struct counting {
    counting() {
        context.self = host_id{"host-1"};
        context.incarnation = 17;
    }
    void add(const char* day) { sums.add(group, service, outcome_kind::done, true, true, day); }
    /// Advances the time and returns the put that was sent, if any.
    std::optional<store_put> put_at(double ms) {
        now = instant::from_ms(ms);
        out.clear();
        sums.tick(now, out);
        return sent();
    }
    std::optional<store_put> sent() {
        if (out.empty()) {
            return std::nullopt;
        }
        const auto& call = std::get<store_call>(out.back());
        id = call.id;
        return std::get<store_put>(call.request);
    }
    void answer(store_status status) {
        out.clear();
        sums.on_store({id, {status, 1, {}}}, now, out);
    }
    std::uint64_t done_in(const store_put& put) {
        return parse_totals(put.value).value().at({group, service}).done;
    }
    core_context context;
    totals sums{context};
    action_list out;
    call_id id;
    instant now;
};

}  // namespace

TEST_CASE("counts are written as absolute values under the daemon's own key") {
    counting c;
    CHECK_FALSE(c.put_at(0));
    c.add("2026-12-04");
    c.sums.add(group, service, outcome_kind::unknown, false, false, "2026-12-04");
    const auto put = c.put_at(66'000);
    REQUIRE(put);
    CHECK(put->key == "totals/2026-12-04/host-1/17");
    const auto counts = parse_totals(put->value).value().at({group, service});
    CHECK(counts == request_counts{1, 0, 1, 1, 1});
    c.answer(store_status::ok);
    CHECK_FALSE(c.put_at(140'000));
    c.add("2026-12-04");
    CHECK(c.done_in(c.put_at(280'000).value()) == 2);
}

// Guards against losing or doubling counts when the store's answer is lost.
TEST_CASE("counts of an unanswered put are written again") {
    counting c;
    c.put_at(0);
    c.add("2026-12-04");
    REQUIRE(c.put_at(66'000));
    CHECK_FALSE(c.put_at(140'000));
    c.answer(store_status::unavailable);
    CHECK_FALSE(c.sums.is_flushed());
    CHECK(c.done_in(c.put_at(280'000).value()) == 1);
}

// Guards against an older put that arrives after a newer one for the same key.
TEST_CASE("a flush during a put waits for its answer") {
    counting c;
    c.put_at(0);
    c.add("2026-12-04");
    c.put_at(66'000);
    c.add("2026-12-04");
    c.out.clear();
    c.sums.flush(c.out);
    CHECK(c.out.empty());
    c.answer(store_status::ok);
    CHECK(c.done_in(c.sent().value()) == 2);
    CHECK_FALSE(c.sums.is_flushed());
    c.answer(store_status::ok);
    CHECK(c.sums.is_flushed());
}

// Guards against a shutdown that loses counts because one write to the store failed.
TEST_CASE("a failed flush is retried after 1 s") {
    counting c;
    c.put_at(0);
    c.add("2026-12-04");
    c.sums.flush(c.out);
    c.sent();
    c.answer(store_status::unavailable);
    CHECK(c.out.empty());
    CHECK(c.put_at(1000));
}

// Guards against losing requests around midnight, and against memory that grows with each day.
TEST_CASE("a finished day is written once more and dropped after 10 minutes") {
    counting c;
    c.put_at(0);
    c.add("2026-12-04");
    c.put_at(66'000);
    c.answer(store_status::ok);
    c.add("2026-12-04");
    c.add("2026-12-05");
    const auto last = c.put_at(67'000);
    REQUIRE(last);
    CHECK(last->key == "totals/2026-12-04/host-1/17");
    CHECK(c.done_in(*last) == 2);
    c.answer(store_status::ok);
    c.put_at(668'000);
    c.add("2026-12-04");
    CHECK(c.done_in(c.put_at(760'000).value()) == 1);
}

// Guards against a write rate at the store that grows with the size of the fleet.
TEST_CASE("daemons of large fleets write their counts every 300 s") {
    counting c;
    std::vector<host_entry> hosts;
    for (int i = 0; i < 49; ++i) {
        hosts.push_back({host_id{"host-" + std::to_string(i)}, {}, {}, member_state::live});
    }
    c.context.fleet = std::make_shared<directory>(hosts, std::vector<endpoint_entry>{});
    c.put_at(0);
    c.add("2026-12-04");
    CHECK_FALSE(c.put_at(269'000));
    CHECK(c.put_at(331'000));
}

TEST_CASE("malformed totals are rejected") {
    CHECK_FALSE(parse_totals("{}"));
    CHECK_FALSE(parse_totals(R"({"rows":[{"group":"g","service":"s"}]})"));
    CHECK(parse_totals(R"({"rows":[]})"));
}
