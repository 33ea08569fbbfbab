#include "soak/link_proxy.h"

#include <unistd.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <iterator>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace jasminelead;
using namespace jasminelead::literals;
using namespace jasminelead::soak;

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using steady = std::chrono::steady_clock;

constexpr auto hold_time = std::chrono::milliseconds{60};

/// A proxy in front of a listener; both ends of each connection belong to the test. The callers are
/// named by `next_name`.
struct proxied_target {
    proxied_target() { target.listen(512); }

    /// The caller's end, whether or not the proxy has reached the target.
    tcp::socket call(const std::string& name = "a") {
        {
            const std::lock_guard guard{lock};
            names.push_back(name);
        }
        tcp::socket caller{io};
        caller.connect(proxy.endpoint());
        return caller;
    }
    tcp::socket accept() { return target.accept(); }
    /// Waits until nothing has arrived at the target for a while.
    bool is_target_called() {
        std::this_thread::sleep_for(hold_time);
        error_code failed;
        target.non_blocking(true);
        tcp::socket caller = target.accept(failed);
        target.non_blocking(false);
        return !failed;
    }
    std::string next_name() {
        const std::lock_guard guard{lock};
        const std::string name = names.at(named);
        ++named;
        return name;
    }

    asio::io_context io;
    tcp::acceptor target{io, {asio::ip::address_v4::loopback(), 0}, true};
    std::mutex lock;
    std::vector<std::string> names;
    std::size_t named = 0;
    link_threads threads;
    link_proxy proxy{threads, target.local_endpoint(),
                     [this](const auto&, const auto&) { return next_name(); }};
};

/// A connection through the proxy.
struct proxied_connection {
    explicit proxied_connection(proxied_target& through, const std::string& name = "a")
        : caller{through.call(name)}, target{through.accept()} {}
    tcp::socket caller;
    tcp::socket target;
};

void send(tcp::socket& socket, const std::string& text) {
    asio::write(socket, asio::buffer(text));
}

std::string receive(tcp::socket& socket, std::size_t size) {
    std::string text(size, ' ');
    asio::read(socket, asio::buffer(text));
    return text;
}

/// How the stream ends; empty while it is open and no bytes arrive for a while.
error_code end_of(tcp::socket& socket) {
    char byte = 0;
    error_code failed;
    socket.read_some(asio::buffer(&byte, 1), failed);
    return failed;
}

bool is_quiet(tcp::socket& socket) {
    std::this_thread::sleep_for(hold_time);
    char byte = 0;
    error_code failed;
    socket.non_blocking(true);
    socket.read_some(asio::buffer(&byte, 1), failed);
    socket.non_blocking(false);
    return failed == asio::error::would_block;
}

void close_with_reset(tcp::socket& socket) {
    socket.set_option(asio::socket_base::linger{true, 0});
    socket.close();
}

std::size_t count_threads() {
    return static_cast<std::size_t>(
        std::distance(std::filesystem::directory_iterator{"/proc/self/task"}, {}));
}

link_condition silent_to_target() {
    link_condition condition;
    condition.silent_to_target = true;
    return condition;
}

}  // namespace

// Guards against faults that reach the links of another process.
TEST_CASE("a link's caller is named by its process") {
    asio::io_context io;
    tcp::acceptor target{io, {asio::ip::address_v4::loopback(), 0}, true};
    link_threads threads;
    const link_proxy proxy{threads, target.local_endpoint()};
    tcp::socket caller{io};
    caller.connect(proxy.endpoint());
    tcp::socket accepted = target.accept();
    CHECK(proxy.open_connections(std::to_string(::getpid())) == 1);
    CHECK(proxy.open_connections("1") == 0);
}

// Guards against a proxy that loses, reorders or adds bytes, or takes any number of them from a
// sender whose receiver does not read.
TEST_CASE("a link keeps all bytes and the back-pressure of a receiver that does not read") {
    proxied_target through;
    proxied_connection link{through};
    std::string block(std::size_t{64} * 1024, ' ');
    for (std::size_t i = 0; i < block.size(); ++i) {
        block[i] = static_cast<char>('a' + i * i % 23);
    }
    constexpr std::size_t blocks = 1024;
    link.caller.non_blocking(true);
    std::size_t sent = 0;
    auto last_progress = steady::now();
    while (sent < blocks * block.size() && steady::now() - last_progress < hold_time) {
        error_code failed;
        const auto rest = asio::buffer(block) + sent % block.size();
        const std::size_t size = link.caller.write_some(rest, failed);
        sent += size;
        last_progress = size > 0 ? steady::now() : last_progress;
    }
    REQUIRE(sent < blocks * block.size());
    link.caller.shutdown(tcp::socket::shutdown_send);
    std::string received(sent, ' ');
    asio::read(link.target, asio::buffer(received));
    bool is_same = true;
    for (std::size_t at = 0; at < sent; at += block.size()) {
        const std::size_t size = std::min(block.size(), sent - at);
        is_same = is_same && received.compare(at, size, block, 0, size) == 0;
    }
    CHECK(is_same);
    CHECK(end_of(link.target) == asio::error::eof);
}

// Guards against delays that are not applied, or only to new connections or one direction.
TEST_CASE("a link delays each direction of open connections") {
    proxied_target through;
    proxied_connection link{through};
    link_condition condition;
    condition.delay_to_target = 40_ms;
    condition.delay_to_caller = 70_ms;
    through.proxy.set_condition("a", condition);
    const auto begun = steady::now();
    send(link.caller, "one");
    send(link.caller, "two");
    CHECK(receive(link.target, 6) == "onetwo");
    const auto arrived = steady::now();
    CHECK(arrived - begun >= std::chrono::milliseconds{40});
    send(link.target, "back");
    CHECK(receive(link.caller, 4) == "back");
    CHECK(steady::now() - arrived >= std::chrono::milliseconds{70});
}

// Guards against bytes that pass during a silence or are lost after it, and against a silence that
// also stops the other direction or other callers.
TEST_CASE("a silent link holds the bytes of one direction and caller until the silence ends") {
    proxied_target through;
    proxied_connection link{through};
    proxied_connection other{through, "b"};
    through.proxy.set_condition("a", silent_to_target());
    send(link.caller, "held");
    send(other.caller, "passed");
    CHECK(receive(other.target, 6) == "passed");
    send(link.target, "back");
    CHECK(receive(link.caller, 4) == "back");
    CHECK(is_quiet(link.target));
    through.proxy.set_condition("a", {});
    CHECK(receive(link.target, 4) == "held");
}

// Guards against a target that runs a statement whose caller was reset or closed during a
// partition, and against a truncated stream that looks complete.
TEST_CASE("a silent link drops held bytes whose sender has left") {
    proxied_target through;
    proxied_connection closed{through};
    proxied_connection reset{through};
    proxied_connection ended{through};
    through.proxy.set_condition(silent_to_target());
    send(closed.caller, "dropped");
    closed.caller.close();
    send(reset.caller, "dropped");
    close_with_reset(reset.caller);
    ended.caller.close();
    CHECK(is_quiet(closed.target));
    CHECK(is_quiet(reset.target));
    CHECK(is_quiet(ended.target));
    through.proxy.set_condition({});
    CHECK(end_of(closed.target) == asio::error::connection_reset);
    CHECK(end_of(reset.target) == asio::error::connection_reset);
    CHECK(end_of(ended.target) == asio::error::eof);
}

// Guards against open connections that recover from a fault that real connections do not survive.
TEST_CASE("open connections can go silent for good while new ones work") {
    proxied_target through;
    proxied_connection link{through};
    through.proxy.silence_open_connections("a");
    send(link.caller, "lost");
    proxied_connection later{through};
    send(later.caller, "passed");
    CHECK(receive(later.target, 6) == "passed");
    through.proxy.set_condition("a", {});
    CHECK(is_quiet(link.target));
    link.caller.close();
    link.target.close();
    CHECK(through.proxy.open_connections("a") == 1);
}

// Guards against connections that outlive a reset, or a reset of another caller's connections.
TEST_CASE("a reset reaches both ends of the open connections of a caller") {
    proxied_target through;
    proxied_connection link{through};
    proxied_connection other{through, "b"};
    through.proxy.reset("a");
    CHECK(end_of(link.caller) == asio::error::connection_reset);
    CHECK(end_of(link.target) == asio::error::connection_reset);
    send(other.caller, "passed");
    CHECK(receive(other.target, 6) == "passed");
    through.proxy.reset();
    CHECK(end_of(other.caller) == asio::error::connection_reset);
}

// Guards against a refusal that the caller takes for a connection, and a proxy that stays closed.
TEST_CASE("a link refuses new connections of all callers or one") {
    proxied_target through;
    proxied_connection open{through};
    link_condition refusing;
    refusing.refuses_connections = true;
    for (int i = 0; i < 2; ++i) {
        through.proxy.set_condition(refusing);
        error_code failed;
        tcp::socket caller{through.io};
        caller.connect(through.proxy.endpoint(), failed);
        CHECK(failed == asio::error::connection_refused);
        through.proxy.set_condition({});
        CHECK_NOTHROW(proxied_connection{through});
    }
    through.proxy.set_condition("a", refusing);
    tcp::socket refused = through.call();
    CHECK(end_of(refused) == asio::error::connection_reset);
    CHECK_NOTHROW(proxied_connection{through, "b"});
    send(open.caller, "passed");
    CHECK(receive(open.target, 6) == "passed");
}

// Guards against a partition in which connections are still established, and against callers that
// gave up during it and reach the target afterwards.
TEST_CASE("connecting hangs until the condition ends") {
    proxied_target through;
    link_condition hanging;
    hanging.hangs_connections = true;
    for (const link_condition& condition : {hanging, silent_to_target()}) {
        through.proxy.set_condition(condition);
        asio::io_context connecting;
        tcp::socket caller{connecting};
        caller.async_connect(through.proxy.endpoint(), [](error_code) {});
        CHECK(connecting.run_for(hold_time) == 0);
        caller.close();
        through.proxy.set_condition({});
        CHECK_FALSE(through.is_target_called());
        CHECK_NOTHROW(proxied_connection{through});
    }
    through.proxy.set_condition("a", hanging);
    tcp::socket waiting = through.call();
    tcp::socket left = through.call();
    send(left, "lost");
    left.close();
    CHECK_FALSE(through.is_target_called());
    CHECK_NOTHROW(proxied_connection{through, "b"});
    through.proxy.set_condition("a", {});
    tcp::socket reached = through.accept();
    send(waiting, "here");
    CHECK(receive(reached, 4) == "here");
    CHECK_FALSE(through.is_target_called());
}

// Guards against an end that is taken for a reset, or the other way round: a reset or closed
// connection leaves a write's outcome unknown, and an ended one may still be answered.
TEST_CASE("a link passes half-closes and resets on as such") {
    proxied_target through;
    proxied_connection ended{through};
    send(ended.caller, "last");
    ended.caller.shutdown(tcp::socket::shutdown_send);
    CHECK(receive(ended.target, 4) == "last");
    CHECK(end_of(ended.target) == asio::error::eof);
    send(ended.target, "answer");
    ended.target.shutdown(tcp::socket::shutdown_send);
    CHECK(receive(ended.caller, 6) == "answer");
    CHECK(end_of(ended.caller) == asio::error::eof);

    proxied_connection reset{through};
    close_with_reset(reset.caller);
    CHECK(end_of(reset.target) == asio::error::connection_reset);

    // The caller learns of the reset only by writing.
    proxied_connection closed{through};
    closed.caller.close();
    CHECK(end_of(closed.target) == asio::error::eof);
    error_code failed;
    while (!failed) {
        asio::write(closed.target, asio::buffer("more", 4), failed);
    }
    CHECK((failed == asio::error::connection_reset || failed == asio::error::broken_pipe));
    CHECK(through.proxy.open_connections() == 0);
}

// Guards against a thread for each connection, and against a limit below what a soak needs.
TEST_CASE("hundreds of links work with a fixed number of threads") {
    constexpr std::size_t count = 300;
    proxied_target through;
    const std::size_t threads = count_threads();
    std::vector<std::unique_ptr<proxied_connection>> links;
    for (std::size_t i = 0; i < count; ++i) {
        links.push_back(std::make_unique<proxied_connection>(through));
    }
    for (const auto& link : links) {
        send(link->caller, "ask");
    }
    for (const auto& link : links) {
        CHECK(receive(link->target, 3) == "ask");
        send(link->target, "answer");
        CHECK(receive(link->caller, 6) == "answer");
    }
    CHECK(through.proxy.open_connections() == count);
    CHECK(count_threads() == threads);
}
