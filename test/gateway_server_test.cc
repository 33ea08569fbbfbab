#include "proxy/gateway_server.h"

#include <future>

#include "ctl/http_client.h"
#include "proxy/clock.h"
#include "session_fleet.h"

using namespace jasminelead;
using namespace jasminelead::proxy;
using namespace jasminelead::test;

namespace {

/// Sends requests to the gateway of a host, as another host would.
class gateway_caller {
public:
    explicit gateway_caller(const std::string& address) : m_address{address} {}

    gateway_answer begin(const std::string& text) { return send(gateway_action::begin, text, {}); }
    gateway_answer send(gateway_action action, const std::string& text,
                        const std::string& transaction) {
        gateway_request request;
        request.action = action;
        request.transaction = transaction;
        request.route.database = "pay";
        request.route.group = group_id{"shows"};
        request.route.statement_timeout = 1500_ms;
        request.route.latency_goal = 500_ms;
        request.statement.id = "q1";
        request.statement.text = text;
        request.statement.kind = text.starts_with("WRITE") ? access::write : access::read;
        request.statement.arrived = boot_now();
        ctl::http_client client{m_address};
        const auto response =
            client.post("/peer/statement", encode_gateway_request(request, boot_now()));
        REQUIRE(response);
        const auto answer = decode_gateway_answer(response->body);
        REQUIRE(answer);
        return *answer;
    }

private:
    std::string m_address;
};

template <class Condition>
bool becomes_true(Condition&& condition) {
    for (int i = 0; i < 200 && !condition(); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return condition();
}

}  // namespace

// Guards against a caller that is told "rolled back" while the transaction stays open: its host
// gave up on a slow statement and asks for the rollback, or the end, while the statement still
// runs.
TEST_CASE("a transaction that is ended during a statement is rolled back with that statement") {
    fleet all;
    gateway_caller gateway{all.peer_address()};
    const auto action = GENERATE(gateway_action::roll_back, gateway_action::commit);
    const gateway_answer begun = gateway.begin("WRITE b1 v1");
    REQUIRE(begun.still_open);
    all.endpoint(0).delay_next("READ", std::chrono::milliseconds{400});
    auto slow = std::async(std::launch::async, [&] {
        return gateway_caller{all.peer_address()}.send(gateway_action::step, "READ b1",
                                                       begun.transaction);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds{150});
    CHECK(gateway.send(action, "COMMIT", begun.transaction).outcome.fault ==
          statement_fault::aborted);
    const gateway_answer ended = slow.get();
    CHECK_FALSE(ended.still_open);
    CHECK(ended.outcome.fault == statement_fault::aborted);
    CHECK(all.runs("ROLLBACK") == 1);
    CHECK(all.runs("COMMIT") == 0);
}

// Guards against transactions that keep their connections after the host of their session has died.
TEST_CASE("a gateway rolls back a transaction whose calling host no longer sends requests") {
    fleet all;
    std::string config = config_text(4);
    config.replace(config.find("3000"), 4, "200");
    all.platform().put("op/config", config);
    gateway_caller gateway{all.peer_address()};
    const gateway_answer begun = gateway.begin("WRITE d1 v1");
    REQUIRE(begun.still_open);
    CHECK(becomes_true([&] { return all.runs("ROLLBACK") == 1; }));
    CHECK(gateway.send(gateway_action::commit, "COMMIT", begun.transaction).outcome.fault ==
          statement_fault::aborted);
    CHECK(all.runs("COMMIT") == 0);
}
