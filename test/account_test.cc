#include "jasminelead/account.h"

#include <catch2/catch.hpp>

#include "jasminelead/routing_config.h"

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const account_id agents{"agents"};
const account_id banks{"banks"};
const key_digest first_key = key_digest::of("first-key");
const key_digest second_key = key_digest::of("second-key");
const key_digest bank_key = key_digest::of("bank-key");

routing_config config_with(revision_number version, std::vector<key_digest> agent_keys) {
    routing_config config;
    config.version = version;
    config.accounts.add({agents, std::move(agent_keys)});
    config.accounts.add({banks, {bank_key}});
    return config;
}

database_route route_for(bool is_public) {
    database_route route;
    route.is_public = is_public;
    return route;
}

}  // namespace

TEST_CASE("digests have the values of SHA-256 and survive their text form") {
    CHECK(key_digest::of("abc").hex() ==
          "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    const auto decoded = key_digest::from_hex(first_key.hex());
    REQUIRE(decoded);
    CHECK(decoded->equals(first_key));
    CHECK_FALSE(decoded->equals(second_key));
    for (const char* malformed : {"", "ba78", "zz"}) {
        CHECK_FALSE(key_digest::from_hex(malformed));
    }
    CHECK_FALSE(key_digest::from_hex(first_key.hex().replace(3, 1, "X")));
}

// Guards against statements that run in the name of another account (rule UNASKED).
TEST_CASE("each of an account's keys names it, and no other key does") {
    const auto config = config_with(1, {first_key, second_key});
    const auto route = route_for(false);
    CHECK(config.authenticate(route, first_key)->account == agents);
    CHECK(config.authenticate(route, second_key)->account == agents);
    CHECK(config.authenticate(route, bank_key)->account == banks);
    CHECK_FALSE(config.authenticate(route, key_digest::of("")));
    CHECK_FALSE(config.authenticate(route, key_digest::of("first-ke")));
}

TEST_CASE("callers of public routes, and of configurations without accounts, need no key") {
    const auto config = config_with(1, {first_key});
    CHECK(config.authenticate(route_for(true), key_digest::of("u1"))->account.empty());
    CHECK(routing_config{}.authenticate(route_for(false), key_digest::of("u1"))->account.empty());
}

// Guards against callers that go on with a key that was removed (rules ROUTE and CONFIG), and
// against the refusal of callers with a key that only a newer configuration has.
TEST_CASE("a removed key is refused by newer configurations only") {
    const authenticated_caller caller{{agents, second_key.id()}, 5};
    CHECK(config_with(5, {first_key, second_key}).still_admits(caller));
    CHECK(config_with(6, {first_key, second_key}).still_admits(caller));
    CHECK_FALSE(config_with(6, {first_key}).still_admits(caller));
    CHECK(config_with(4, {first_key}).still_admits(caller));
    const authenticated_caller moved{{agents, bank_key.id()}, 5};
    CHECK_FALSE(config_with(6, {first_key}).still_admits(moved));
    CHECK(config_with(6, {first_key}).still_admits(authenticated_caller{}));
}

TEST_CASE("an unconfirmed copy of the accounts is trusted unless keys fail closed") {
    CHECK(key_trust{false, 5_s}.allows(60_s));
    CHECK(key_trust{true, 5_s}.allows(4999_ms));
    CHECK_FALSE(key_trust{true, 5_s}.allows(5_s));
}
