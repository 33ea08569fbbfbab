#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <map>

#include "daemon/worker.h"
#include "platform/store_client.h"
#include "scripted_server.h"

using namespace jasminelead;

namespace {

constexpr std::chrono::seconds answer_limit{2};

/// A client of a store that gives every call the same body.
class store_fixture {
    static daemon::steady_time deadline() {
        return std::chrono::steady_clock::now() + answer_limit;
    }
    template <class Function>
    auto run(Function function) {
        std::promise<decltype(function())> done;
        m_worker.post([&] { m_worker.spawn([&] { done.set_value(function()); }); });
        return done.get_future().get();
    }

public:
    explicit store_fixture(std::string body)
        : m_server{[body = std::move(body)](std::string_view, const std::string&) {
              return support::http_reply(200, body);
          }},
          m_client{m_worker.io(), m_server.address(), m_counters} {}

    platform::store_result<platform::store_listing> list() {
        return run([this] { return m_client.list("", "", deadline()); });
    }
    platform::store_result<platform::store_changes> watch() {
        return run([this] { return m_client.watch("", 1, 0, deadline()); });
    }

    ~store_fixture() {
        run([this] {
            m_client.close();
            return true;
        });
        m_worker.stop();
    }
    store_fixture(const store_fixture&) = delete;
    store_fixture& operator=(const store_fixture&) = delete;
    store_fixture(store_fixture&&) = delete;
    store_fixture& operator=(store_fixture&&) = delete;

private:
    support::scripted_server m_server;
    daemon::metrics m_counters;
    daemon::worker m_worker;
    platform::store_client m_client;
};

// "YQ==" and "Yg==" encode "a" and "b".
std::string items(const std::string& odd) {
    return R"([{"key":"servers/a","value":"YQ==","rev":3},)" + odd +
           R"(,{"key":"servers/b","value":"Yg==","rev":5}])";
}

std::string item(const std::string& key, const std::string& value) {
    return R"({"key":")" + key + R"(","rev":4)" +
           (value.empty() ? std::string{} : R"(,"value":)" + value) + "}";
}

const char* const odd_values[] = {"\"\"",     "\"YQ\"", "\"Y Q=\"", "\"====\"", "\"%%%%\"",
                                  "\"-_-_\"", "null",   "7",        "[]",       ""};

}  // namespace

// Guards against one item that makes the others of its listing or watch unreadable: the host would
// not follow the store any more.
TEST_CASE("an item whose value cannot be decoded does not affect the others", "[odd-entries]") {
    for (const char* value : odd_values) {
        INFO(value);
        store_fixture listed{R"({"items":)" + items(item("servers/odd", value)) +
                             R"(,"truncated":false,"storeRevision":9})"};
        const auto listing = listed.list();
        REQUIRE(listing);
        REQUIRE(listing.value->items.size() == 3);
        CHECK(listing.value->items[0].value == "a");
        CHECK(listing.value->items[1].key == "servers/odd");
        CHECK(listing.value->items[2].value == "b");
        store_fixture watched{R"({"events":)" + items(item("servers/odd", value)) +
                              R"(,"storeRevision":9})"};
        const auto changes = watched.watch();
        REQUIRE(changes);
        REQUIRE(changes.value->changes.size() == 3);
        CHECK(changes.value->changes[1].value.has_value());
        CHECK(changes.value->changes[2].value == "b");
    }
}

// Guards against a key with bytes that are not UTF-8, which another writer chose.
TEST_CASE("a key with arbitrary bytes does not affect the others", "[odd-entries]") {
    for (const char* key : {"servers/\xff\xfe", "\xc3", "servers/a b", "servers/\\r\\n", ""}) {
        INFO(key);
        store_fixture store{R"({"items":)" + items(item(key, "\"YQ==\"")) +
                            R"(,"truncated":false,"storeRevision":9})"};
        const auto listing = store.list();
        REQUIRE(listing);
        CHECK(listing.value->items.size() == 3);
    }
}

// Guards against a key that is not valid UTF-16, which some stores write as escapes.
TEST_CASE("a key with half a surrogate pair does not affect the others", "[odd-entries]") {
    const std::map<std::string, std::string> keys{
        {"servers/\\ud800", "servers/\xed\xa0\x80"},
        {"\\uDFFFx", "\xed\xbf\xbfx"},
        {"\\ud800\\ud83d\\ude00", "\xed\xa0\x80\xf0\x9f\x98\x80"},
        {"\\ud800\\n", "\xed\xa0\x80\n"},
        {"\\\\ud800\\udc00", "\\ud800\xed\xb0\x80"},
        {"\\ud800\\u0041",
         "\xed\xa0\x80"
         "A"},
    };
    for (const auto& [written, read] : keys) {
        INFO(written);
        store_fixture store{R"({"items":)" + items(item(written, "\"YQ==\"")) +
                            R"(,"truncated":false,"storeRevision":9})"};
        const auto listing = store.list();
        REQUIRE(listing);
        REQUIRE(listing.value->items.size() == 3);
        CHECK(listing.value->items[1].key == read);
        CHECK(listing.value->items[2].value == "b");
    }
    for (const char* broken : {"\\ud8", "\\ud800\\", "\\ud800\\x"}) {
        INFO(broken);
        store_fixture store{R"({"items":)" + items(item(broken, "\"YQ==\"")) +
                            R"(,"truncated":false,"storeRevision":9})"};
        CHECK(store.list().fault == platform::store_fault::malformed);
    }
}

// Guards against changes that are missed: an answer without keys or revisions is not the store's.
TEST_CASE("an answer whose items lack a key or a revision is malformed", "[odd-entries]") {
    for (const char* odd :
         {R"({"value":"YQ==","rev":4})", R"({"key":"k","value":"YQ=="})",
          R"({"key":"k","value":"YQ==","rev":-1})", R"({"key":"k","value":"YQ==","rev":1e300})",
          R"({"key":"k","value":"YQ==","rev":18446744073709551616})", "null"}) {
        INFO(odd);
        store_fixture store{R"({"items":)" + items(odd) +
                            R"(,"truncated":false,"storeRevision":9})"};
        CHECK(store.list().fault == platform::store_fault::malformed);
    }
}
