#include "http_pool.h"

#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <thread>

#include "clock.h"
#include "scripted_server.h"
#include "worker.h"

using namespace jasminelead;
using namespace jasminelead::daemon;
using jasminelead::support::http_reply;
using jasminelead::support::scripted_server;

namespace {

using call_result = std::variant<http_response, endpoint_error>;

/// Calls a server that answers after 400 ms, and aborts the calls to it after 100 ms.
call_result call_slow_server(bool exempt_from_abort) {
    const scripted_server slow{[](std::string_view, const std::string&) {
        std::this_thread::sleep_for(std::chrono::milliseconds{400});
        return http_reply(200, "late");
    }};
    const std::string address = slow.address();
    worker io_worker;
    http_pool pool{io_worker.io(), 1};
    std::promise<call_result> done;
    io_worker.post([&] {
        io_worker.spawn([&] {
            http_call call;
            call.address = address;
            call.target = "/peer/statement";
            call.body = "{}";
            call.deadline = std::chrono::steady_clock::now() + std::chrono::seconds{2};
            call.exempt_from_abort = exempt_from_abort;
            done.set_value(pool.call(call));
        });
        io_worker.spawn([&] {
            boost::this_fiber::sleep_for(std::chrono::milliseconds{100});
            pool.abort(address);
        });
    });
    return done.get_future().get();
}

}  // namespace

TEST_CASE("abort ends the calls to an address") {
    const auto result = call_slow_server(false);
    REQUIRE(std::holds_alternative<endpoint_error>(result));
    CHECK(std::get<endpoint_error>(result) == endpoint_error::reset);
}

// Guards against a write with an unknown outcome because its gateway paused briefly: the abort must
// not discard an answer that still arrives.
TEST_CASE("a call that is exempt from abort waits for its answer") {
    const auto result = call_slow_server(true);
    REQUIRE(std::holds_alternative<http_response>(result));
    CHECK(std::get<http_response>(result).body == "late");
}
