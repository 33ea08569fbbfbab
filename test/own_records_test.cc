#include "proxy/own_records.h"

#include <catch2/catch.hpp>

#include "proxy/peer_messages.h"

using namespace jasminelead;
using namespace jasminelead::literals;
using namespace jasminelead::proxy;

TEST_CASE("records of groups and hosts survive encoding") {
    group_record group;
    group.phase = leadership_phase::changing;
    group.primary = endpoint_id{"a"};
    group.successor = endpoint_id{"b"};
    group.changed_by = host_id{"h1"};
    group.changed_by_incarnation = 17;
    group.term = 4;
    group.taken_over_at = {3, 120};
    CHECK(decode_group_record(encode_group_record(group)) == group);
    const host_record host{host_id{"h1"},        17,   "127.0.0.1:7400",
                           data_centre_id{"dc"}, 0.25, {endpoint_id{"a"}}};
    CHECK(decode_host_record(encode_host_record(host)) == host);
}

TEST_CASE("keys name groups and hosts") {
    CHECK(group_of_key(group_key(group_id{"shows"})) == group_id{"shows"});
    CHECK(host_of_key(host_key(host_id{"h1"})) == host_id{"h1"});
    CHECK(host_of_alive_key(alive_key(host_id{"h1"})) == host_id{"h1"});
    CHECK_FALSE(group_of_key(host_key(host_id{"h1"})));
    CHECK(is_stopped_use_key(stopped_use_key(group_id{"shows"}, host_id{"h1"})));
}

// Guards against a record of another writer that takes a primary away.
TEST_CASE("incomplete records are refused") {
    CHECK_FALSE(decode_group_record("{}"));
    CHECK_FALSE(decode_group_record("\xff"));
    CHECK_FALSE(decode_host_record("{\"host\":\"h\"}"));
}

TEST_CASE("peer messages survive encoding") {
    const peer_request question{host_id{"h1"}, 17, 99, {endpoint_id{"a"}}, {{group_id{"shows"}, 5}},
                                250_ms};
    const auto asked = decode_peer_request(encode_peer_request(question));
    REQUIRE(asked);
    CHECK(asked->known == 99);
    CHECK(asked->hold == 250_ms);
    CHECK(asked->unreachable == question.unreachable);
    CHECK(asked->stopped_use == question.stopped_use);
    peer_response answer;
    answer.knows_sender = true;
    answer.confirmed_age = 30_ms;
    answer.lease_age = 40_ms;
    answer.held = 5_ms;
    answer.complete_up_to = 8;
    answer.changes = {{"k", 7, "v"}, {"gone", 8, std::nullopt}};
    const auto told = decode_peer_response(encode_peer_response(answer));
    REQUIRE(told);
    CHECK(told->knows_sender);
    CHECK(told->confirmed_age == 30_ms);
    CHECK(told->lease_age == 40_ms);
    CHECK(told->held == 5_ms);
    CHECK(told->complete_up_to == 8);
    REQUIRE(told->changes.size() == 2);
    CHECK(told->changes[0].value == "v");
    CHECK_FALSE(told->changes[1].value);
    CHECK_FALSE(decode_peer_request("[]"));
    CHECK_FALSE(decode_peer_response("{}"));
}
