#include "proxy/own_records.h"

#include <catch2/catch.hpp>

#include "proxy/peer_messages.h"

using namespace jasminelead;
using namespace jasminelead::literals;
using namespace jasminelead::proxy;

TEST_CASE("group and host records round-trip through encoding") {
    group_record group;
    group.phase = leadership_phase::changing;
    group.primary = endpoint_id{"a"};
    group.successor = endpoint_id{"b"};
    group.changed_by = host_id{"h1"};
    group.changed_by_incarnation = 17;
    group.replaced_revision = 15;
    group.term = 4;
    group.taken_over_at = {3, 120};
    CHECK(decode_group_record(encode_group_record(group)) == group);
    const host_record host{
        host_id{"h1"}, 17,  "127.0.0.1:7400", data_centre_id{"dc"}, 0.25, {endpoint_id{"a"}},
        900_ms,        true};
    CHECK(decode_host_record(encode_host_record(host)) == host);
}

// Guards against a rolling upgrade in which a host of a new build, with shorter leases, promotes
// while a host of an old build still relies on its longer one.
TEST_CASE("a host record without a lease length states that of the earlier builds") {
    const auto record = decode_host_record(R"({"host":"h1","incarnation":17,"peer":"a:1"})");
    REQUIRE(record);
    CHECK(record->lease_length == unstated_lease_length);
}

// Guards against a granter set that is misread as smaller than it is.
TEST_CASE("granters round-trip through encoding, and incomplete ones are rejected") {
    const granter_set granters{0, {host_id{"h1"}, host_id{"h2"}}, {host_id{"h3"}}};
    CHECK(decode_granters(encode_granters(granters)) == granters);
    CHECK_FALSE(decode_granters(R"({"members":["h1"]})"));
    CHECK_FALSE(decode_granters(R"({"members":["h1",7],"previous":[]})"));
    CHECK_FALSE(decode_granters(R"({"members":[],"previous":[]})"));
}

// Guards against an endpoint with an empty id that counts as unreachable.
TEST_CASE("values of other types in a list of unreachable endpoints are ignored") {
    const auto record = decode_host_record(
        R"({"host":"h1","incarnation":17,"peer":"a:1","unreachable":[7,"a",null]})");
    REQUIRE(record);
    CHECK(record->unreachable == std::set{endpoint_id{"a"}});
}

TEST_CASE("group and host ids are decoded from keys") {
    CHECK(group_of_key(group_key(group_id{"shows"})) == group_id{"shows"});
    CHECK(host_of_key(host_key(host_id{"h1"})) == host_id{"h1"});
    CHECK(host_of_alive_key(alive_key(host_id{"h1"})) == host_id{"h1"});
    CHECK_FALSE(group_of_key(host_key(host_id{"h1"})));
    CHECK(is_stopped_use_key(stopped_use_key(group_id{"shows"}, host_id{"h1"})));
}

// Guards against an incomplete record of another writer that unsets a group's primary.
TEST_CASE("incomplete records are rejected") {
    CHECK_FALSE(decode_group_record("{}"));
    CHECK_FALSE(decode_group_record("\xff"));
    CHECK_FALSE(decode_host_record("{\"host\":\"h\"}"));
}

TEST_CASE("peer messages round-trip through encoding") {
    const peer_request request{
        host_id{"h1"}, 17, 0, 99, {endpoint_id{"a"}}, {{group_id{"shows"}, 5}}, 250_ms};
    const auto decoded_request = decode_peer_request(encode_peer_request(request));
    REQUIRE(decoded_request);
    CHECK(decoded_request->known == 99);
    CHECK(decoded_request->hold == 250_ms);
    CHECK(decoded_request->unreachable == request.unreachable);
    CHECK(decoded_request->stopped_use == request.stopped_use);
    peer_response response;
    response.knows_sender = true;
    response.confirmed_age = 30_ms;
    response.lease_age = 40_ms;
    response.held = 5_ms;
    response.complete_up_to = 8;
    response.changes = {{"k", 7, "v"}, {"gone", 8, std::nullopt}};
    response.group_revisions = {{group_id{"shows"}, 6}};
    const auto decoded_response = decode_peer_response(encode_peer_response(response));
    REQUIRE(decoded_response);
    CHECK(decoded_response->knows_sender);
    CHECK(decoded_response->confirmed_age == 30_ms);
    CHECK(decoded_response->lease_age == 40_ms);
    CHECK(decoded_response->held == 5_ms);
    CHECK(decoded_response->complete_up_to == 8);
    CHECK(decoded_response->group_revisions == response.group_revisions);
    REQUIRE(decoded_response->changes.size() == 2);
    CHECK(decoded_response->changes[0].value == "v");
    CHECK_FALSE(decoded_response->changes[1].value);
    CHECK_FALSE(decode_peer_request("[]"));
    CHECK_FALSE(decode_peer_response("{}"));
}

// Guards against a restored record that counts as written in the present era.
TEST_CASE("a group record states its era, and none if an earlier build wrote it") {
    group_record record;
    record.era = 3;
    const auto decoded = decode_group_record(encode_group_record(record));
    REQUIRE(decoded);
    CHECK(decoded->era == 3);
    const auto earlier = decode_group_record(
        R"({"phase":"led","primary":"a","successor":"","changed_by":"h1","incarnation":1,)"
        R"("term":4,"taken_over_term":4,"taken_over_position":1})");
    REQUIRE(earlier);
    CHECK(earlier->era == 0);
}

// Guards against hosts that take a revision of an earlier era for one of the present era, and
// against builds without eras that read a number which they do not know.
TEST_CASE("peer messages carry the eras of revisions") {
    const group_id shows{"shows"};
    peer_request request;
    request.host = host_id{"h1"};
    request.era = 2;
    request.known = revision_in_era(2, 8);
    request.stopped_use = {{shows, revision_in_era(1, 5)}};
    const std::string request_text = encode_peer_request(request);
    CHECK(request_text.find(R"("known":8)") != std::string::npos);
    const auto decoded_request = decode_peer_request(request_text);
    REQUIRE(decoded_request);
    CHECK(decoded_request->era == 2);
    CHECK(decoded_request->known == request.known);
    CHECK(decoded_request->stopped_use == request.stopped_use);
    peer_response response;
    response.era = 2;
    response.complete_up_to = revision_in_era(2, 9);
    response.changes = {{"k", revision_in_era(2, 7), "v"}, {"old", 900, "v"}};
    response.group_revisions = {{shows, revision_in_era(2, 6)}, {group_id{"awards"}, 4}};
    const auto decoded = decode_peer_response(encode_peer_response(response));
    REQUIRE(decoded);
    CHECK(decoded->era == 2);
    CHECK(decoded->complete_up_to == response.complete_up_to);
    REQUIRE(decoded->changes.size() == 2);
    CHECK(decoded->changes[0].revision == response.changes[0].revision);
    CHECK(decoded->changes[1].revision == 900);
    CHECK(decoded->group_revisions == response.group_revisions);
}
