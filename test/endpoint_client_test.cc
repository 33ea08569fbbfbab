#include "endpoint_client.h"

#include <catch2/catch.hpp>
#include <future>

#include "event_log.h"
#include "scripted_server.h"

using namespace jasminelead;
using namespace jasminelead::daemon;
using namespace jasminelead::support;
using namespace jasminelead::literals;

namespace {

constexpr const char* stamp = R"({"term":2,"log_term":2,"position":9,"role":"primary"})";
const endpoint_id shows{"shows-1-a"};

std::string state_answer() {
    return http_reply(200, R"({"accepted":true,"state":{"stamp":)" + std::string{stamp} +
                               R"(,"epoch":4,"owner":"h1","primary_silence_ms":null,)"
                               R"("connections_open":1,"terms":[{"term":2,"position":5}]}})");
}

std::string connected() {
    return http_reply(200, R"({"stamp":)" + std::string{stamp} + "}");
}

/// An endpoint client on its own worker. Its only endpoint has the address.
struct fixture {
    explicit fixture(const std::string& address) {
        host_list list;
        list.endpoints.push_back({shows, group_id{"shows-1"}, data_centre_id{"a"}, address, {}});
        addresses.update(list);
    }
    ~fixture() {
        on_worker([this] { client.stop(); });
    }
    template <class Function>
    void on_worker(Function function) {
        std::promise<void> ended;
        io_worker.post([&] {
            function();
            ended.set_value();
        });
        ended.get_future().wait();
    }
    void open(connection_id id) {
        on_worker([&] { client.open({shows, id, 4}); });
    }
    void run(connection_id id, std::uint64_t sequence) {
        on_worker([&] {
            client.run({shows, id, sequence, request_kind::statement, "get k", true, 0});
        });
    }
    std::optional<control_answered> call(control_request request, bool new_connection,
                                         duration timeout) {
        on_worker([&] { client.call({{}, shows, std::move(request), new_connection, timeout}); });
        return events.next<control_answered>();
    }

    worker io_worker;
    address_book addresses;
    event_log events;
    endpoint_client client{io_worker, addresses, events.sink()};
};

endpoint_error error_of(const std::optional<control_answered>& answered) {
    REQUIRE(answered);
    REQUIRE(std::holds_alternative<endpoint_error>(answered->answer));
    return std::get<endpoint_error>(answered->answer);
}

}  // namespace

TEST_CASE("a database connection opens, runs statements and reports its loss") {
    scripted_server server{[](std::string_view target, const std::string& body) {
        if (target == "/connect") {
            CHECK(body == R"({"connection":7,"epoch":4})");
            return connected();
        }
        const bool last = body.find(R"("sequence":3)") != std::string::npos;
        return last ? "close"
                    : http_reply(200, R"({"sequence":2,"status":"ok","result":{"value":"1"},)"
                                      R"("stamp":)" +
                                          std::string{stamp} + "}");
    }};
    fixture f{server.address()};
    f.open(7);
    const auto opened = f.events.next<connection_opened>();
    REQUIRE(opened);
    CHECK(opened->stamp.position == 9);
    f.run(7, 2);
    const auto answered = f.events.next<statement_answered>();
    REQUIRE(answered);
    CHECK(answered->connection == 7);
    CHECK(answered->sequence == 2);
    CHECK(answered->result == R"({"value":"1"})");
    f.run(7, 3);
    const auto lost = f.events.next<connection_lost>();
    REQUIRE(lost);
    CHECK(lost->error == endpoint_error::reset);
}

TEST_CASE("each refusal of a connection has its own error") {
    const auto failure = [](const std::string& answer) {
        scripted_server server{[&](std::string_view, const std::string&) { return answer; }};
        fixture f{server.address()};
        f.open(1);
        const auto failed = f.events.next<connection_failed>();
        REQUIRE(failed);
        return failed->error;
    };
    CHECK(failure(http_reply(409, R"({"error":"stale_epoch"})")) == endpoint_error::stale_epoch);
    CHECK(failure(http_reply(429, R"({"error":"limit"})")) == endpoint_error::limit);
    CHECK(failure(http_reply(200, "{}")) == endpoint_error::protocol);
    CHECK(failure("nonsense\r\n\r\n") == endpoint_error::protocol);
    CHECK(failure("close") == endpoint_error::reset);
    CHECK(failure("silent") == endpoint_error::timeout);
    fixture unreachable{"127.0.0.1:1"};
    unreachable.open(1);
    CHECK(unreachable.events.next<connection_failed>()->error == endpoint_error::refused);
}

// Guards against the loss of an idle connection going unnoticed until the next statement.
TEST_CASE("an idle connection that the endpoint closes is reported") {
    auto server = std::make_unique<scripted_server>(
        [](std::string_view, const std::string&) { return connected(); });
    fixture f{server->address()};
    f.open(1);
    REQUIRE(f.events.next<connection_opened>());
    server.reset();
    CHECK(f.events.next<connection_lost>());
}

// Guards against a late answer being reported for a connection that was already closed.
TEST_CASE("a connection closed in the middle of a statement reports nothing") {
    scripted_server server{[](std::string_view target, const std::string&) {
        return target == "/run" ? std::string{"silent"} : connected();
    }};
    fixture f{server.address()};
    f.open(1);
    REQUIRE(f.events.next<connection_opened>());
    f.run(1, 1);
    f.on_worker([&] { f.client.close({shows, 1}); });
    f.open(2);
    const auto opened = f.events.next<connection_opened>();
    REQUIRE(opened);
    CHECK(opened->connection == 2);
}

// Guards against a promotion that is triggered when an endpoint is missing in the host list.
TEST_CASE("an endpoint without an address is not reported as dead") {
    fixture f{"127.0.0.1:1"};
    f.on_worker([&] { f.client.open({endpoint_id{"stranger"}, 1, 0}); });
    CHECK(f.events.next<connection_failed>()->error == endpoint_error::timeout);
    f.on_worker([&] { f.client.call({{}, endpoint_id{"stranger"}, status_query{}, true, 5_s}); });
    CHECK(error_of(f.events.next<control_answered>()) == endpoint_error::timeout);
}

TEST_CASE("control calls reuse their connection unless a new one is requested") {
    scripted_server server{[](std::string_view, const std::string&) { return state_answer(); }};
    fixture f{server.address()};
    const auto first = f.call(claim_request{3, host_id{"h1"}}, false, 5_s);
    REQUIRE(first);
    REQUIRE(std::holds_alternative<control_result>(first->answer));
    const auto& result = std::get<control_result>(first->answer);
    CHECK(result.accepted);
    CHECK(result.state.epoch == 4);
    CHECK(f.call(status_query{}, false, 5_s));
    CHECK(server.accepted() == 1);
    CHECK(f.call(status_query{}, true, 5_s));
    CHECK(server.accepted() == 2);
}

TEST_CASE("control calls distinguish a timeout, a refused connection and a reset") {
    scripted_server silent{[](std::string_view, const std::string&) { return "silent"; }};
    fixture slow{silent.address()};
    CHECK(error_of(slow.call(status_query{}, true, 30_ms)) == endpoint_error::timeout);
    fixture dead{"127.0.0.1:1"};
    CHECK(error_of(dead.call(status_query{}, true, 5_s)) == endpoint_error::refused);
    scripted_server closing{[](std::string_view, const std::string&) { return "close"; }};
    fixture reset{closing.address()};
    CHECK(error_of(reset.call(status_query{}, true, 5_s)) == endpoint_error::reset);
}
