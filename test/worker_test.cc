#include "worker.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>

#include "fiber_stream.h"

using namespace jasminelead::daemon;

namespace {

/// Waits until the worker has run all functions that were posted before.
void wait_for_worker(worker& target) {
    std::promise<void> reached;
    target.post([&reached] { reached.set_value(); });
    reached.get_future().wait();
}

}  // namespace

// Guards against a scheduler that polls or spins while idle. Waiting for the worker costs a few
// wake-ups; a polling worker has thousands during the sleep of 50 ms.
TEST_CASE("an idle worker blocks") {
    worker idle;
    std::promise<void> suspended;
    fiber_event never;
    idle.post([&] {
        idle.spawn([&] {
            suspended.set_value();
            never.wait();
        });
    });
    suspended.get_future().wait();
    wait_for_worker(idle);
    const std::uint64_t before = idle.wakeups();
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    wait_for_worker(idle);
    CHECK(idle.wakeups() <= before + 3);
    idle.post([&never] { never.notify(); });
}

TEST_CASE("other fibers run while a fiber waits for a timer") {
    worker busy;
    std::promise<std::string> order;
    std::string steps;
    fiber_event go;
    busy.post([&] {
        busy.spawn([&] {
            steps += "a";
            go.wait();
            steps += "c";
            order.set_value(steps);
        });
        busy.spawn([&] {
            steps += "b";
            boost::asio::steady_timer timer{busy.io(), std::chrono::milliseconds{1}};
            await_operation(busy.io(), no_deadline,
                            [&timer](auto handler) { timer.async_wait(std::move(handler)); });
            go.notify();
        });
    });
    CHECK(order.get_future().get() == "abc");
}

TEST_CASE("an operation that exceeds its deadline ends with a timeout") {
    worker io_worker;
    std::promise<boost::system::error_code> result;
    io_worker.post([&] {
        io_worker.spawn([&] {
            boost::asio::steady_timer never{io_worker.io(), std::chrono::hours{1}};
            const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds{5};
            result.set_value(await_operation(io_worker.io(), deadline, [&never](auto handler) {
                never.async_wait(std::move(handler));
            }));
        });
    });
    CHECK(result.get_future().get() == boost::asio::error::timed_out);
}
