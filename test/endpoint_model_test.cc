#include "endpoint_model.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::support;

namespace {

endpoint_model make(const char* name, endpoint_role role) {
    const endpoint_entry entry{endpoint_id{name}, group_id{"shows"}, data_centre_id{"a"}, "",
                               member_state::live};
    return {entry, role, {}};
}

void write(endpoint_model& endpoint, std::string_view text, term_number term) {
    REQUIRE(endpoint.run(1, request_kind::statement, text, false, term).status == run_status::ok);
}

}  // namespace

TEST_CASE("a fenced primary refuses writes of its old term") {
    auto primary = make("a", endpoint_role::primary);
    REQUIRE_FALSE(primary.connect(1, 0));
    write(primary, "set k 1", 1);
    REQUIRE(primary.control(fence_request{2, "host"}, {}).accepted);
    CHECK(primary.run(1, request_kind::statement, "set k 2", false, 1).status ==
          run_status::refused);
    CHECK(primary.log().size() == 1);
}

TEST_CASE("only one candidate is accepted for a term") {
    auto endpoint = make("a", endpoint_role::replica);
    CHECK(endpoint.control(fence_request{2, "x"}, {}).accepted);
    CHECK(endpoint.control(fence_request{2, "x"}, {}).accepted);
    CHECK_FALSE(endpoint.control(fence_request{2, "y"}, {}).accepted);
    CHECK_FALSE(endpoint.control(promote_request{2, "y"}, {}).accepted);
}

TEST_CASE("a claim closes the connections of older epochs") {
    auto endpoint = make("a", endpoint_role::replica);
    REQUIRE(endpoint.control(claim_request{0, host_id{"x"}}, {}).accepted);
    REQUIRE_FALSE(endpoint.connect(1, 1));
    REQUIRE(endpoint.control(claim_request{1, host_id{"y"}}, {}).accepted);
    CHECK_FALSE(endpoint.is_open(1));
    CHECK(endpoint.connect(2, 1) == endpoint_error::stale_epoch);
}

TEST_CASE("a former primary truncates records that the new primary does not have") {
    auto old_primary = make("a", endpoint_role::primary);
    auto successor = make("b", endpoint_role::replica);
    REQUIRE_FALSE(old_primary.connect(1, 0));
    REQUIRE_FALSE(successor.connect(1, 0));
    write(old_primary, "set k 1", 1);
    REQUIRE(successor.control(follow_request{1, endpoint_id{"a"}, 0}, {}).accepted);
    REQUIRE(successor.replicate(old_primary, {}, 10));
    write(old_primary, "set k lost", 1);
    REQUIRE(successor.control(fence_request{2, "host"}, {}).accepted);
    REQUIRE(successor.control(promote_request{2, "host"}, {}).accepted);
    write(successor, "set k 2", 2);
    REQUIRE(old_primary.control(follow_request{2, endpoint_id{"b"}, 1}, {}).accepted);
    REQUIRE(old_primary.replicate(successor, {}, 10));
    CHECK(old_primary.log().size() == 2);
    CHECK(old_primary.run(1, request_kind::statement, "get k", true, 0).result ==
          R"({"value":"2"})");
}
