#include "proxy/mark_messages.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;
using namespace jasminelead::proxy;

TEST_CASE("mark messages round-trip through encoding") {
    const std::set<group_id> groups{group_id{"plants"}, group_id{"shows"}};
    CHECK(decode_mark_request(encode_mark_request(groups)) == groups);
    const auto marks =
        decode_mark_response(encode_mark_response({{group_id{"shows"}, 120_ms, {3, 77}, 9}}));
    REQUIRE(marks);
    REQUIRE(marks->size() == 1);
    CHECK(marks->front().group == group_id{"shows"});
    CHECK(marks->front().age == 120_ms);
    CHECK(marks->front().point == log_point{3, 77});
    CHECK(marks->front().leadership == 9);
}

// Guards against a malformed peer message that crashes the process or yields a mark with a negative
// or overflowing age. Such a mark would lie in the future and allow stale reads.
TEST_CASE("malformed mark messages are rejected") {
    for (const char* text :
         {"", "{}", "[]", "{\"marks\":1}", "{\"marks\":[1]}", "{\"marks\":[{\"group\":\"a\"}]}",
          "{\"marks\":[{\"group\":\"a\",\"age_us\":-5,\"term\":1,"
          "\"position\":1,\"leadership\":1}]}",
          "{\"marks\":[{\"group\":\"a\",\"age_us\":18446744073709551615,"
          "\"term\":1,\"position\":1,\"leadership\":1}]}"}) {
        CAPTURE(text);
        CHECK_FALSE(decode_mark_response(text));
    }
    for (const char* text : {"", "{}", "{\"groups\":{}}", "{\"groups\":[4]}"}) {
        CAPTURE(text);
        CHECK_FALSE(decode_mark_request(text));
    }
}
