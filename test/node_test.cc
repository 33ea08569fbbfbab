#include "node.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <cstddef>
#include <memory>
#include <thread>

#include "fake_kernel.h"
#include "http_test_client.h"

using namespace jasminelead;
using namespace jasminelead::daemon;
using namespace jasminelead::support;

namespace {

settings test_settings() {
    settings options;
    options.host = host_id{"h1"};
    options.data_centre = data_centre_id{"a"};
    options.listen = "127.0.0.1:0";
    options.store = "127.0.0.1:1";
    return options;
}

/// A daemon that listens on a free port.
struct running_node : node {
    explicit running_node(const settings& options = test_settings(),
                          const fake_kernel::request_counter& received =
                              std::make_shared<std::atomic<std::size_t>>(0))
        : node{options, std::make_unique<fake_kernel>(received)} {
        REQUIRE_FALSE(start());
    }
};

std::string statement(int id, std::string_view text) {
    return http_post("/v1/statement", R"({"service":"s","group":"g","id":)" + std::to_string(id) +
                                          R"(,"text":")" + std::string{text} + "\"}");
}

bool has_id(const http_answer& answer, int id) {
    return answer.body.starts_with("{\"id\":" + std::to_string(id) + ",");
}

}  // namespace

// Guards against responses that are assigned to the wrong request of a pipeline.
TEST_CASE("pipelined requests run at once and are answered in order") {
    running_node server;
    http_test_client client{server.port()};
    // The kernel answers the held requests in reverse order once the last request arrives.
    std::string requests;
    for (int id = 0; id < 31; ++id) {
        requests += statement(id, "hold");
    }
    client.send(requests + statement(31, "release") + statement(32, "get k"));
    for (int id = 0; id < 33; ++id) {
        const auto answer = client.receive();
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(has_id(*answer, id));
    }
}

// Guards against unbounded work for one connection: the 33rd pipelined request is not read.
TEST_CASE("reading stops at 32 requests in flight") {
    running_node server;
    http_test_client stuck{server.port()};
    std::string requests;
    for (int id = 0; id < 32; ++id) {
        requests += statement(id, "hold");
    }
    stuck.send(requests + statement(32, "release"));
    http_test_client other{server.port()};
    other.send(statement(100, "get k"));
    CHECK(has_id(other.receive().value(), 100));
    other.send(statement(101, "release"));
    CHECK(has_id(other.receive().value(), 101));
}

TEST_CASE("a protocol violation is refused and counted without effect on other connections") {
    running_node server;
    http_test_client good{server.port()};
    const auto refused = [&server](std::string_view bytes, unsigned status, std::string_view why) {
        http_test_client bad{server.port()};
        bad.send(bytes);
        const auto answer = bad.receive();
        REQUIRE(answer);
        CHECK(answer->status == status);
        CHECK(answer->body.find(why) != std::string::npos);
        CHECK_FALSE(bad.receive());
        CHECK(server.counters().value("refused", why) > 0);
    };
    refused(http_post("/v1/statement", std::string(std::size_t{65} * 1024, ' ')), 413, "too_large");
    refused("GET / HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n", 413, "too_large");
    refused("POST /v1/statement HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413, "too_large");
    refused(std::string_view{"\x16\x03\x01\0\xff\r\n\r\n", 9}, 400, "bad_request");
    good.send(statement(1, "get k"));
    CHECK(has_id(good.receive().value(), 1));
}

TEST_CASE("a connection survives a request with a bad body") {
    running_node server;
    http_test_client client{server.port()};
    client.send(http_post("/v1/statement", "{") + http_post("/v1/nothing", "") +
                statement(5, "get k"));
    CHECK(client.receive()->status == 400);
    CHECK(client.receive()->status == 404);
    CHECK(has_id(client.receive().value(), 5));
}

TEST_CASE("connections above the limit are refused, operator paths stay open") {
    settings options = test_settings();
    options.max_client_connections = 1;
    running_node server{options};
    http_test_client first{server.port()};
    first.send(statement(1, "get k"));
    CHECK(first.receive()->status == 200);
    http_test_client second{server.port()};
    second.send(statement(2, "get k"));
    CHECK(second.receive()->body.find("connection_limit") != std::string::npos);
    CHECK_FALSE(second.receive());
    http_test_client operator_client{server.port()};
    operator_client.send("GET /readyz HTTP/1.1\r\n\r\n");
    CHECK(operator_client.receive()->status == 200);
}

// Guards against a shutdown that discards requests in progress.
TEST_CASE("a drain answers the requests in progress") {
    const auto received = std::make_shared<std::atomic<std::size_t>>(0);
    running_node server{test_settings(), received};
    http_test_client client{server.port()};
    client.send(statement(1, "hold") + statement(2, "get k"));
    // Both requests have to be in progress when the drain arrives on its own connection.
    while (*received < 2) {
        std::this_thread::yield();
    }
    http_test_client operator_client{server.port()};
    operator_client.send("GET /healthz HTTP/1.1\r\n\r\n" + http_post("/v1/drain", "") +
                         "GET /readyz HTTP/1.1\r\n\r\n");
    CHECK(operator_client.receive()->status == 200);
    CHECK(operator_client.receive()->status == 202);
    CHECK(has_id(client.receive().value(), 1));
    CHECK(has_id(client.receive().value(), 2));
    CHECK(server.wait_drained(std::chrono::seconds{10}));
}
