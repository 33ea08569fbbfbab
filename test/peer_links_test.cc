#include "peer_links.h"

#include <catch2/catch.hpp>
#include <deque>
#include <future>
#include <thread>

#include "event_log.h"
#include "node.h"
#include "scripted_server.h"

using namespace jasminelead;
using namespace jasminelead::daemon;
using namespace jasminelead::support;
using namespace jasminelead::literals;

namespace {

const host_id peer{"h2"};

statement_call call_number(std::uint64_t number) {
    statement_call call;
    call.id = {call_module::entry, number};
    call.text = "get k";
    call.remaining = 60_s;
    return call;
}

/// The links of the daemon h1. Its peer h2 has the address.
struct fixture {
    explicit fixture(const std::string& address) {
        host_list list;
        list.hosts.push_back({peer, data_centre_id{"a"}, address, member_state::live});
        addresses.update(list);
    }
    ~fixture() {
        on_worker([this] { links.stop(); });
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
    void send(const peer_message& message) {
        on_worker([&] { links.send({peer, message}); });
    }

    worker io_worker;
    address_book addresses;
    event_log events;
    peer_links links{io_worker, host_id{"h1"}, addresses, events.sink(),
                     [](std::string_view, std::string_view) {}};
};

/// A kernel that replies to each call of a peer after the delay.
class echo_kernel : public core_kernel {
public:
    explicit echo_kernel(duration delay = {}) : m_delay{delay} {}
    void handle(event input, instant now, action_list& out) override {
        if (auto* const received = std::get_if<peer_received>(&input)) {
            const auto& call = std::get<statement_call>(received->message);
            statement_reply reply;
            reply.id = call.id;
            reply.result = done{call.text};
            m_replies.emplace_back(now + m_delay, send_peer{received->from, reply});
        }
        while (!m_replies.empty() && m_replies.front().first <= now) {
            out.emplace_back(std::move(m_replies.front().second));
            m_replies.pop_front();
        }
    }
    [[nodiscard]] std::optional<instant> next_wakeup() const override {
        return m_replies.empty() ? std::nullopt : std::optional{m_replies.front().first};
    }
    [[nodiscard]] bool ready() const override { return true; }
    [[nodiscard]] std::string status_json() const override { return "{}"; }
    [[nodiscard]] std::string explain_json(std::string_view) const override { return "{}"; }

private:
    duration m_delay;
    std::deque<std::pair<instant, send_peer>> m_replies;
};

settings echo_settings() {
    settings options;
    options.host = peer;
    options.listen = "127.0.0.1:0";
    options.store = "127.0.0.1:1";
    return options;
}

std::string upgraded() {
    return std::string{upgrade_response()};
}

}  // namespace

// The peer has no host list and cannot open a link, so its replies must use the caller's link.
TEST_CASE("a call travels over a link and its reply returns over the same link") {
    node server{echo_settings(), std::make_unique<echo_kernel>()};
    REQUIRE_FALSE(server.start());
    fixture f{"127.0.0.1:" + std::to_string(server.port())};
    for (std::uint64_t number = 1; number <= 200; ++number) {
        f.send(call_number(number));
    }
    for (std::uint64_t number = 1; number <= 200; ++number) {
        const auto received = f.events.next<peer_received>();
        REQUIRE(received);
        CHECK(received->from == peer);
        CHECK(std::get<statement_reply>(received->message).id.number == number);
    }
}

TEST_CASE("calls to a peer that refuses connections come back unsent") {
    fixture f{"127.0.0.1:1"};
    f.send(call_number(1));
    const auto unsent = f.events.next<peer_call_unsent>();
    REQUIRE(unsent);
    CHECK(unsent->call == call_id{call_module::entry, 1});
    const auto failed = f.events.next<peer_failed>();
    REQUIRE(failed);
    CHECK(failed->error == endpoint_error::refused);
    f.on_worker([&] { f.links.send({host_id{"stranger"}, call_number(2)}); });
    CHECK(f.events.next<peer_call_unsent>()->call.number == 2);
}

// Guards against reporting calls as unsent although they were written to the socket.
TEST_CASE("the loss of a link is reported once, without its sent calls") {
    auto server = std::make_unique<scripted_server>(
        [](std::string_view, const std::string&) { return upgraded(); });
    fixture f{server->address()};
    f.send(call_number(1));
    while (server->upgraded_bytes() == 0) {
        std::this_thread::yield();
    }
    server.reset();
    const auto failed = f.events.next<peer_failed>();
    REQUIRE(failed);
    CHECK(failed->error == endpoint_error::reset);
    CHECK(f.events.size() == 0);
}

TEST_CASE("a link without answers times out, and more than 1024 calls are not accepted") {
    scripted_server server{[](std::string_view, const std::string&) { return upgraded(); }};
    fixture f{server.address()};
    f.on_worker([&] {
        for (std::uint64_t number = 1; number <= 1025; ++number) {
            f.links.send({peer, call_number(number)});
        }
    });
    const auto unsent = f.events.next<peer_call_unsent>();
    REQUIRE(unsent);
    CHECK(unsent->call.number == 1025);
    const auto failed = f.events.next<peer_failed>();
    REQUIRE(failed);
    CHECK(failed->error == endpoint_error::timeout);
}

// Guards against a link that times out during a slow statement. The delay of 2.6 s exceeds the
// receive timeout of 2 s.
TEST_CASE("a link with a slow call in progress stays open") {
    node server{echo_settings(), std::make_unique<echo_kernel>(2600_ms)};
    REQUIRE_FALSE(server.start());
    fixture f{"127.0.0.1:" + std::to_string(server.port())};
    f.send(call_number(1));
    CHECK(f.events.next<peer_received>());
}
