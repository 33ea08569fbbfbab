#include "store_client.h"

#include <catch2/catch.hpp>
#include <future>

#include "event_log.h"
#include "scripted_server.h"

using namespace jasminelead;
using namespace jasminelead::daemon;
using namespace jasminelead::support;

namespace {

constexpr const char* hosts =
    R"({"hosts":[{"id":"h1","data_centre":"a","address":"127.0.0.1:7400","state":"live"}],)"
    R"("endpoints":[{"id":"e1","group":"g","data_centre":"a","address":"127.0.0.1:7500",)"
    R"("state":"leaving"}]})";

struct fixture {
    explicit fixture(const std::string& address)
        : client{io_worker, address, addresses, events.sink()} {}
    ~fixture() {
        std::promise<void> ended;
        io_worker.post([&] {
            client.stop();
            ended.set_value();
        });
        ended.get_future().wait();
    }
    store_result call(store_request request) {
        io_worker.post([&] { client.call({{}, std::move(request)}); });
        const auto answered = events.next<store_answered>();
        REQUIRE(answered);
        return answered->result;
    }

    worker io_worker;
    address_book addresses;
    event_log events;
    store_client client;
};

store_result answer_to(store_request request, const std::string& reply,
                       std::string_view expected_call) {
    scripted_server server{[&](std::string_view target, const std::string& body) {
        CHECK(std::string{target} + " " + body == expected_call);
        return reply;
    }};
    return fixture{server.address()}.call(std::move(request));
}

}  // namespace

TEST_CASE("store calls translate each answer") {
    const auto got = answer_to(store_get{"k"}, http_reply(200, R"({"version":3,"value":"v"})"),
                               R"(/kv/get {"key":"k"})");
    CHECK(got.status == store_status::ok);
    CHECK(got.version == 3);
    CHECK(got.value == "v");
    const auto put = answer_to(store_put{"k", "v"}, http_reply(200, R"({"version":4})"),
                               R"(/kv/put {"key":"k","value":"v"})");
    CHECK(put.status == store_status::ok);
    const auto conflict =
        answer_to(store_cas{"k", "v", 5}, http_reply(409, R"({"version":6,"value":"w"})"),
                  R"(/kv/cas {"key":"k","value":"v","expected":5})");
    CHECK(conflict.status == store_status::conflict);
    CHECK(conflict.value == "w");
    const auto same = answer_to(store_watch{"k", 7}, "HTTP/1.1 204 x\r\n\r\n",
                                R"(/kv/watch {"key":"k","version":7,"wait_ms":30000})");
    CHECK(same.status == store_status::ok);
    CHECK(same.version == 7);
    const auto missing = answer_to(store_get{"k"}, http_reply(404, ""), R"(/kv/get {"key":"k"})");
    CHECK(missing.status == store_status::missing);
}

// Guards against a failed call that is treated as an answer of the store.
TEST_CASE("every error of the store is unavailable") {
    for (const char* reply : {"close", "silent", "nonsense\r\n\r\n"}) {
        CHECK(answer_to(store_get{"k"}, reply, R"(/kv/get {"key":"k"})").status ==
              store_status::unavailable);
    }
    CHECK(answer_to(store_get{"k"}, http_reply(500, "{}"), R"(/kv/get {"key":"k"})").status ==
          store_status::unavailable);
    fixture unreachable{"127.0.0.1:1"};
    CHECK(unreachable.call(store_get{"k"}).status == store_status::unavailable);
}

TEST_CASE("the host list is polled and gives the addresses") {
    scripted_server server{
        [](std::string_view, const std::string&) { return http_reply(200, hosts); }};
    fixture f{server.address()};
    f.io_worker.post([&] { f.client.start(); });
    const auto list = f.events.next<host_list>();
    REQUIRE(list);
    CHECK(list->endpoints.at(0).state == member_state::leaving);
    CHECK(f.addresses.address_of(host_id{"h1"}) == "127.0.0.1:7400");
    CHECK(f.addresses.address_of(endpoint_id{"e1"}) == "127.0.0.1:7500");
}

// Guards against a truncated answer that removes hosts and endpoints from the fleet.
TEST_CASE("truncated and incomplete host lists are rejected") {
    CHECK(parse_host_list(hosts));
    const std::string text{hosts};
    for (std::size_t size = 0; size < text.size(); ++size) {
        CHECK_FALSE(parse_host_list(text.substr(0, size)));
    }
    CHECK_FALSE(parse_host_list(R"({"hosts":[{"id":"h"}],"endpoints":[]})"));
    CHECK_FALSE(parse_host_list(R"({"hosts":[]})"));
}
