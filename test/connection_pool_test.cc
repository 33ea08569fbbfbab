#include "jasminelead/connection_pool.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const service_id entries{"entries"};
const instant start;

void open(connection_pool& pool, connection_id first, connection_id last) {
    for (connection_id id = first; id <= last; ++id) {
        pool.add_opening(id);
        REQUIRE(pool.set_open(id, start));
    }
}

}  // namespace

// Guards against exceeding the connection limit while connections are still opening.
TEST_CASE("opening connections count against the limit") {
    connection_pool pool;
    CHECK(pool.missing(0, 4, start) == 1);
    CHECK(pool.missing(9, 4, start) == 4);
    pool.add_opening(1);
    pool.add_opening(2);
    CHECK(pool.missing(9, 4, start) == 2);
    CHECK(pool.missing(9, 1, start) == 0);
    CHECK(pool.remove(1, start));
    CHECK(pool.missing(9, 4, start) == 3);
}

// Guards against a rise in load that waits for a new connection at each step.
TEST_CASE("the target is the peak of the last 30 s plus one") {
    connection_pool pool;
    open(pool, 1, 3);
    pool.take(entries, start);
    const auto second = pool.take(entries, start);
    CHECK(pool.target(start) == 3);
    pool.put_back(*second, start + 10_s);
    CHECK(pool.target(start + 39_s) == 3);
    CHECK(pool.target(start + 40_s) == 2);
}

// Guards against connections that stay open forever after a peak.
TEST_CASE("idle connections above the target are closed after 30 s") {
    connection_pool pool;
    open(pool, 1, 3);
    CHECK(pool.take_surplus(20, start + 29_s).empty());
    CHECK(pool.next_surplus(start) == start + 30_s);
    CHECK(pool.take_surplus(20, start + 30_s) == std::vector<connection_id>{1, 2});
    CHECK(pool.size() == 1);
    CHECK_FALSE(pool.next_surplus(start + 30_s));
}

// Guards against a lowered limit that never takes effect or that interrupts calls in progress.
TEST_CASE("a lowered limit closes idle connections only") {
    connection_pool pool;
    open(pool, 1, 3);
    const auto used = pool.take(entries, start);
    CHECK(pool.take_surplus(1, start).size() == 2);
    CHECK(pool.find(*used) != nullptr);
}

// Guards against lost connections that still count against the limit of their service.
TEST_CASE("a lost connection no longer counts for its service") {
    connection_pool pool;
    open(pool, 1, 2);
    const auto first = pool.take(entries, start);
    const auto second = pool.take(entries, start);
    CHECK_FALSE(pool.take(entries, start));
    CHECK(pool.in_use(entries) == 2);
    CHECK(pool.remove(*first, start)->service == entries);
    pool.put_back(*second, start);
    CHECK(pool.in_use(entries) == 0);
    CHECK(pool.in_use() == 0);
    CHECK(pool.take(entries, start) == second);
}
