#include "platform/wire.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

using namespace jasminelead;
using namespace jasminelead::platform;

namespace {

template <class Type, class Variant>
Type as(const Variant& value) {
    REQUIRE(std::holds_alternative<Type>(value));
    return std::get<Type>(value);
}

/// Appends the bytes in pieces of the given size and returns the complete lines.
std::vector<std::string> lines_of(const std::string& bytes, std::size_t piece) {
    line_buffer buffer;
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        buffer.append(std::string_view{bytes}.substr(at, piece));
        while (const auto line = buffer.next()) {
            lines.emplace_back(*line);
        }
    }
    return lines;
}

}  // namespace

// Guards against lines that are split or joined when their bytes arrive in pieces.
TEST_CASE("lines do not depend on how their bytes are split") {
    const bool holds = rc::check([] {
        const auto texts = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::inRange(' ', '~')));
        std::string bytes;
        for (const std::string& text : texts) {
            bytes.append(text).append("\r\n");
        }
        const auto piece = static_cast<std::size_t>(*rc::gen::inRange(1, 20));
        RC_ASSERT(lines_of(bytes, piece) == texts);
    });
    CHECK(holds);
}

// Guards against a text with a line feed whose rest counts as a statement, answer or row of its own
// (rule UNASKED).
TEST_CASE("only a carriage return and a line feed together end a line") {
    const bool holds = rc::check([] {
        auto texts = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::elementOf(std::string{"\r\n\0 aQ\xff", 7})));
        std::string bytes;
        for (std::string& text : texts) {
            for (auto end = text.find("\r\n"); end != std::string::npos; end = text.find("\r\n")) {
                text.erase(end, 1);
            }
            bytes.append(text).append("\r\n");
        }
        const auto piece = static_cast<std::size_t>(*rc::gen::inRange(1, 20));
        RC_ASSERT(lines_of(bytes, piece) == texts);
    });
    CHECK(holds);
    CHECK(lines_of("QUERY 1 WRITE a b\nQUERY 2 WRITE c d\r\n", 5).size() == 1);
}

// Guards against a caller that exhausts memory with a line that has no end.
TEST_CASE("a line over the size limit is detected") {
    line_buffer buffer;
    buffer.append(std::string(max_line_bytes, 'x'));
    CHECK_FALSE(buffer.next());
    CHECK_FALSE(buffer.overflowed());
    buffer.append("x");
    CHECK_FALSE(buffer.next());
    CHECK(buffer.overflowed());
}

TEST_CASE("caller requests are decoded") {
    CHECK(as<startup_request>(decode_request("STARTUP lepu270 u3f1")).database == "lepu270");
    const auto query = as<query_request>(decode_request("QUERY 5c0e READ 1a4"));
    CHECK(query.id == "5c0e");
    CHECK(query.text == "READ 1a4");
    CHECK(std::holds_alternative<terminate_request>(decode_request("TERMINATE")));
}

// Guards against callers that send statements under the daemon's internal id.
TEST_CASE("malformed caller requests are rejected") {
    for (const char* line :
         {"", "QUERY", "QUERY - READ 1", "STARTUP", "SELECT 1", "query 1 READ 2"}) {
        CHECK(std::holds_alternative<malformed_request>(decode_request(line)));
    }
}

TEST_CASE("statements are decoded") {
    CHECK_FALSE(as<begin_statement>(decode_statement("BEGIN")).read_only);
    CHECK(as<begin_statement>(decode_statement("BEGIN READ")).read_only);
    CHECK(as<item_statement>(decode_statement("READ 1a4")).kind == access::read);
    CHECK(as<item_statement>(decode_statement("WRITE 1a4 x")).kind == access::write);
    const auto set = as<set_statement>(decode_statement("SET a b c"));
    CHECK(set.name == "a");
    CHECK(set.value == "b c");
    const auto prepared = as<prepare_statement>(decode_statement("PREPARE s1 WRITE q2c"));
    CHECK(prepared.kind == access::write);
    CHECK(prepared.shape == "q2c");
    const auto execute = as<execute_statement>(decode_statement("EXECUTE s1 1a4 data"));
    CHECK(execute.name == "s1");
    CHECK(execute.arguments == "1a4 data");
    CHECK(as<deallocate_statement>(decode_statement("DEALLOC s1")).name == "s1");
}

// Guards against a caller's AFTER prefix or control statement that is forwarded to an endpoint.
TEST_CASE("unsupported statement texts are rejected") {
    for (const char* text : {"", "AFTER 1.2 READ 1", "STATUS", "RESET", "STEPDOWN 3", "PAUSE 4",
                             "BEGIN WRITE", "COMMIT now", "READ", "PREPARE s READ"}) {
        CHECK(std::holds_alternative<unknown_statement>(decode_statement(text)));
    }
}

TEST_CASE("endpoint responses are decoded") {
    CHECK(as<row_line>(decode_endpoint_line("ROW a b")).text == "a b");
    CHECK(as<done_line>(decode_endpoint_line("DONE 7.1f3")).signature == "7.1f3");
    const auto error = as<error_line>(decode_endpoint_line("ERROR READONLY i-7f"));
    CHECK(error.fault == statement_fault::read_only);
    const auto ready = as<ready_line>(decode_endpoint_line("READY T 3.1209"));
    CHECK(ready.state == transaction_state::open);
    CHECK(ready.point == log_point{3, 1209});
    CHECK_FALSE(as<ready_line>(decode_endpoint_line("READY I -")).point);
}

// Guards against an unknown error code that is treated as proof that nothing was run.
TEST_CASE("an unknown error code does not exclude that the statement was run") {
    const auto error = as<error_line>(decode_endpoint_line("ERROR NEWCODE text"));
    CHECK_FALSE(is_known_not_run(error.fault));
}

TEST_CASE("a status row is decoded") {
    const auto status = decode_status_rows("ROW replica 3 3.1209 0 12 2 17\r\n");
    REQUIRE(status);
    CHECK(status->role == endpoint_role::replica);
    CHECK(status->term == 3);
    CHECK(status->received == log_point{3, 1209});
    CHECK(status->busy_slots == 2);
    CHECK(status->connections == 17);
    CHECK_FALSE(decode_status_rows("ROW replica x\r\n"));
    CHECK_FALSE(decode_status_rows(""));
}

TEST_CASE("queries contain the id, the text and the required log point") {
    std::string out;
    encode_query(out, "5c", "READ 1");
    encode_query_after(out, "5d", {3, 12}, "READ 2");
    CHECK(out == "QUERY 5c READ 1\r\nQUERY 5d AFTER 3.12 READ 2\r\n");
}

// Guards against input that crashes a decoder.
TEST_CASE("wire decoders accept arbitrary bytes") {
    const bool holds = rc::check([](const std::string& line) {
        (void)decode_request(line);
        (void)decode_statement(line);
        (void)decode_endpoint_line(line);
        (void)decode_status(line);
    });
    CHECK(holds);
}

// Guards against endpoints that receive a caller's key (rule UNASKED).
TEST_CASE("the key of a caller is separate from the name that endpoints receive") {
    const auto request = as<startup_request>(decode_request("STARTUP lepu270 3is47qdq"));
    CHECK(request.key == "3is47qdq");
    CHECK(as<startup_request>(decode_request("STARTUP lepu270")).key.empty());
    std::string out;
    encode_startup(out, group_id{"huvo"}, account_id{"miny"}, endpoint_id{"i-7"});
    encode_startup(out, group_id{"huvo"}, account_id{}, endpoint_id{"i-7"});
    CHECK(out == "STARTUP huvo miny i-7\r\nSTARTUP huvo jasminelead i-7\r\n");
}
