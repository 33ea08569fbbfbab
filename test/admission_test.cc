#include "jasminelead/admission.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const service_id entries{"entries"};
const service_id fees{"fees"};
const instant start;
constexpr std::uint32_t slots = 2;

bool always(const service_id& /*service*/) {
    return true;
}

/// Queues `count` entries with numbers from `first` on, each due 1 ms after the one before.
void fill(admission& queue, const service_id& service, std::uint32_t share, std::uint64_t first,
          std::uint64_t count) {
    for (std::uint64_t i = 0; i < count; ++i) {
        const instant deadline = start + 60_s + 1_ms * static_cast<double>(i);
        REQUIRE_FALSE(
            queue.push({first + i, service, share, deadline, false}, slots, start).refused);
    }
}

}  // namespace

// Guards against all answers missing their deadlines: the most urgent call must be run first.
TEST_CASE("entries of a service are run in order of their deadlines") {
    admission queue;
    queue.push({1, entries, 1, start + 3_s, false}, slots, start);
    queue.push({2, entries, 1, start + 1_s, false}, slots, start);
    queue.push({3, entries, 1, start + 1_s, false}, slots, start);
    CHECK(queue.pop(true, always)->number == 2);
    CHECK(queue.pop(true, always)->number == 3);
    CHECK(queue.pop(true, always)->number == 1);
    CHECK_FALSE(queue.pop(true, always));
}

/// Number of statements of `fees` among 80 served, with a backlog in both services.
int fees_served(std::uint32_t share, duration entries_time, duration fees_time) {
    admission queue;
    fill(queue, entries, 1, 1000, 100);
    fill(queue, fees, share, 2000, 100);
    int served = 0;
    for (int i = 0; i < 80; ++i) {
        const auto next = queue.pop(true, always);
        const bool is_fee = next->number >= 2000;
        queue.complete(is_fee ? fees : entries, next->charged, is_fee ? fees_time : entries_time);
        served += is_fee ? 1 : 0;
    }
    return served;
}

// Guards against a service that starves the others by sending more or longer statements.
TEST_CASE("services with a backlog are served in proportion to their shares") {
    CHECK(std::abs(fees_served(3, 2_ms, 2_ms) - 60) <= 2);
    CHECK(std::abs(fees_served(1, 9_ms, 3_ms) - 60) <= 4);
}

// Guards against a service that takes all slots for as long as it was idle before.
TEST_CASE("an idle service accumulates no credit") {
    admission queue;
    fill(queue, entries, 1, 1000, 100);
    for (int i = 0; i < 50; ++i) {
        queue.pop(true, always);
    }
    fill(queue, fees, 1, 2000, 50);
    int served = 0;
    for (int i = 0; i < 20; ++i) {
        served += queue.pop(true, always)->number >= 2000 ? 1 : 0;
    }
    CHECK(served <= 11);
}

// Guards against calls that wait in the queue although they will miss their deadline.
TEST_CASE("a call is refused early if the queue ahead would exceed its deadline") {
    admission queue;
    queue.complete(entries, {}, 10_ms);
    fill(queue, entries, 1, 1, 20);
    // 20 entries of 10 ms on 2 slots take 100 ms.
    CHECK(
        queue.push({100, entries, 1, start + 61_s, false}, slots, start + 60_s + 950_ms).refused ==
        reason::overloaded);
    CHECK_FALSE(
        queue.push({101, entries, 1, start + 61_s, false}, slots, start + 60_s + 850_ms).refused);
    // An urgent call has no entries ahead of it.
    CHECK_FALSE(queue.push({102, entries, 1, start + 20_ms, false}, slots, start).refused);
    CHECK(queue.push({103, entries, 1, start, false}, slots, start).refused == reason::deadline);
}

// Guards against calls being refused because of the backlog of another service.
TEST_CASE("the backlog of one service neither refuses nor delays another") {
    admission queue;
    queue.complete(entries, {}, 10_ms);
    fill(queue, entries, 1, 1, admission::capacity);
    CHECK(queue.push({900, entries, 1, start + 70_s, false}, slots, start).refused ==
          reason::overloaded);
    const auto verdict = queue.push({901, fees, 1, start + 50_ms, false}, slots, start);
    CHECK_FALSE(verdict.refused);
    CHECK(verdict.evicted == admission::capacity);
    CHECK(queue.size() == admission::capacity);
    queue.pop(true, always);
    CHECK(queue.pop(true, always)->number == 901);
}

// Guards against a service at its connection limit that blocks the whole endpoint.
TEST_CASE("a service at its connection limit waits while others proceed") {
    admission queue;
    fill(queue, entries, 1, 1, 2);
    fill(queue, fees, 1, 10, 1);
    const auto only_fees = [](const service_id& service) { return service == fees; };
    CHECK(queue.pop(true, only_fees)->number == 10);
    CHECK_FALSE(queue.pop(true, only_fees));
    CHECK(queue.size() == 2);
}

// Guards against a deadlock: all connections are held by transactions that wait for new calls.
TEST_CASE("a statement of a transaction needs no idle connection") {
    admission queue;
    fill(queue, entries, 1, 1, 1);
    queue.push({2, entries, 1, start + 90_s, true}, slots, start);
    CHECK(queue.pop(false, always)->number == 2);
    CHECK_FALSE(queue.pop(false, always));
}

TEST_CASE("expired and removed entries leave the queue") {
    admission queue;
    fill(queue, entries, 1, 1, 3);
    queue.push({9, fees, 1, start + 1_s, true}, slots, start);
    CHECK(queue.next_deadline() == start + 1_s);
    CHECK(queue.take_expired(start + 1_s) == std::vector<std::uint64_t>{9});
    CHECK(queue.remove(entries, 2));
    CHECK_FALSE(queue.remove(entries, 2));
    CHECK(queue.size() == 2);
}

// Guards against statements of all accounts that wait because the most urgent one has no
// connection.
TEST_CASE("accounts without a connection are passed over, in order of their deadlines") {
    admission queue;
    const account_id agents{"agents"};
    const account_id banks{"banks"};
    queue.push({1, entries, 1, start + 1_s, false, agents}, slots, start);
    queue.push({2, entries, 1, start + 2_s, false, banks}, slots, start);
    queue.push({3, fees, 1, start + 3_s, false, agents}, slots, start);
    const auto demands = queue.waiting_accounts();
    REQUIRE(demands.size() == 2);
    CHECK(demands.front().account == agents);
    CHECK(demands.front().waiting == 2);
    CHECK(demands.back().account == banks);
    const auto only_banks = [&](const account_id& account) { return account == banks; };
    CHECK(queue.pop_for_account(only_banks)->number == 2);
    CHECK_FALSE(queue.pop_for_account(only_banks));
    CHECK(queue.size() == 2);
}
