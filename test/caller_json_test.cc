#include "caller_json.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::daemon;

namespace {

reason fault_of(request_kind kind, std::string_view body) {
    const auto parsed = parse_caller_request(kind, body);
    const auto* const fault = std::get_if<request_fault>(&parsed);
    return fault == nullptr ? reason::none : fault->why;
}

reason fault_of(std::string_view body) {
    return fault_of(request_kind::statement, body);
}

std::string with(std::string_view members) {
    return R"({"service":"s","group":"g","text":"get k")" + std::string{members} + "}";
}

}  // namespace

TEST_CASE("a complete statement is read with all its members") {
    const auto parsed = parse_caller_request(
        request_kind::statement,
        with(R"(,"id":"a\"b","read":true,"idempotent":true,"accept_loss":true,)"
             R"("max_age_ms":250,"timeout_ms":100,"session":"tok")"));
    REQUIRE(std::holds_alternative<parsed_request>(parsed));
    const auto& [request, id] = std::get<parsed_request>(parsed);
    CHECK(id == R"("a\"b")");
    CHECK(request.service.str() == "s");
    CHECK(request.group.str() == "g");
    CHECK(request.text == "get k");
    CHECK((request.read && request.idempotent && request.accept_loss));
    CHECK(request.max_age == duration::from_ms(250));
    CHECK(request.timeout == duration::from_ms(100));
    CHECK(request.session == "tok");
}

// Guards against a member with a wrong type or name that silently changes the meaning of a request.
TEST_CASE("mistyped, unknown and out-of-range members are refused") {
    CHECK(fault_of(with("")) == reason::none);
    for (const char* members :
         {R"(,"read":1)", R"(,"idempotent":"yes")", R"(,"colour":1)", R"(,"timeout_ms":99)",
          R"(,"timeout_ms":60001)", R"(,"timeout_ms":1e3)", R"(,"max_age_ms":-1)",
          R"(,"max_age_ms":3600001)", R"(,"session":5)", R"(,"session":null)", R"(,"id":[])",
          R"(,"transaction":"t")"}) {
        INFO(members);
        CHECK(fault_of(with(members)) == reason::bad_request);
    }
    CHECK(fault_of(R"({"service":"s","group":"g"})") == reason::bad_request);
    CHECK(fault_of(R"({"service":"s","group":"","text":"t"})") == reason::bad_request);
    CHECK(fault_of(R"({"service":"s","group":"a\u0007","text":"t"})") == reason::bad_request);
    const std::string long_name(65, 'x');
    CHECK(fault_of(R"({"service":")" + long_name + R"(","group":"g","text":"t"})") ==
          reason::bad_request);
    CHECK(fault_of("[]") == reason::bad_request);
}

TEST_CASE("each kind has its own members") {
    const std::string_view begin = R"({"service":"s","group":"g"})";
    const std::string_view commit = R"({"service":"s","group":"g","transaction":"t"})";
    CHECK(fault_of(request_kind::begin, begin) == reason::none);
    CHECK(fault_of(request_kind::begin, commit) == reason::bad_request);
    CHECK(fault_of(request_kind::commit, commit) == reason::none);
    CHECK(fault_of(request_kind::rollback, begin) == reason::bad_request);
    CHECK(fault_of(request_kind::execute, commit) == reason::bad_request);
    CHECK(fault_of(request_kind::execute, with(R"(,"transaction":"t")")) == reason::none);
}

TEST_CASE("truncated, binary and deep bodies are refused") {
    const std::string body = with(R"(,"read":true)");
    for (std::size_t size = 0; size < body.size(); ++size) {
        CHECK(fault_of(body.substr(0, size)) == reason::bad_request);
    }
    CHECK(fault_of(std::string_view{"\0\xff\x80{", 4}) == reason::bad_request);
    CHECK(fault_of("{\"service\":\"\xc3\x28\"}") == reason::bad_request);
    CHECK(fault_of(std::string(17, '[') + std::string(17, ']')) == reason::too_large);
}

TEST_CASE("replies carry the caller's id and the status of their outcome") {
    caller_reply reply;
    reply.result = done{R"({"value":"1"})"};
    reply.session = "tok";
    reply.endpoint = endpoint_id{"a\"b"};
    const auto rendered = render_reply(reply, "7");
    CHECK(rendered.status == 200);
    CHECK(rendered.body ==
          R"({"id":7,"outcome":"done","result":{"value":"1"},"session":"tok","endpoint":"a\"b"})");
    const auto status = [](outcome result) {
        caller_reply answer;
        answer.result = std::move(result);
        return render_reply(answer, {}).status;
    };
    CHECK(status(not_run{reason::statement_error, ""}) == 400);
    CHECK(status(not_run{reason::bad_token, ""}) == 400);
    CHECK(status(not_run{reason::too_large, ""}) == 413);
    CHECK(status(not_run{reason::slow_sender, ""}) == 408);
    CHECK(status(not_run{reason::overloaded, ""}) == 503);
    CHECK(status(unknown_outcome{reason::unconfirmed, ""}) == 504);
}
