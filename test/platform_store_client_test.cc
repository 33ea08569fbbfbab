#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <vector>

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
        : m_server{[this, body = std::move(body)](std::string_view target,
                                                  const std::string& sent) {
              const std::lock_guard lock{m_lock};
              m_targets.emplace_back(target);
              m_last_body = sent;
              std::string reply = support::http_reply(m_status, body);
              return m_era.empty()
                         ? reply
                         : reply.insert(reply.find("\r\n") + 2, "Store-Era: " + m_era + "\r\n");
          }},
          m_client{m_worker.io(), m_server.address(), m_counters} {
        m_client.on_new_era([this](store_era era) { m_eras.push_back(era); });
    }

    /// Later answers have this status and state this era, or none if it is empty.
    void set_era(const std::string& era, int status = 200) {
        const std::lock_guard lock{m_lock};
        m_era = era;
        m_status = status;
    }
    platform::store_result<revision_number> commit(revision_number condition) {
        platform::store_transaction transaction;
        transaction.conditions.push_back({"k", condition});
        return run([&] { return m_client.commit(transaction, deadline()); });
    }
    platform::store_result<platform::store_changes> watch_after(revision_number revision) {
        return run([&] { return m_client.watch("", revision, 0, deadline()); });
    }
    std::string last_body() {
        const std::lock_guard lock{m_lock};
        return m_last_body;
    }
    std::vector<std::string> targets() {
        const std::lock_guard lock{m_lock};
        return m_targets;
    }
    /// Eras that the client has reported.
    [[nodiscard]] const std::vector<store_era>& eras() const { return m_eras; }

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
    std::mutex m_lock;
    std::string m_era;
    int m_status = 200;
    std::vector<std::string> m_targets;
    std::string m_last_body;
    std::vector<store_era> m_eras;
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

// Guards against revisions of different eras that compare as if the store had only one.
TEST_CASE("revisions contain the era that the store states", "[era]") {
    store_fixture store{
        R"({"items":[{"key":"k","value":"","rev":7}],"truncated":false,"storeRevision":9})"};
    CHECK(store.list().value->items.front().revision == 7);
    store.set_era("2");
    const auto listing = store.list();
    REQUIRE(listing);
    CHECK(listing.value->items.front().revision == revision_in_era(2, 7));
    CHECK(listing.value->revision == revision_in_era(2, 9));
    CHECK(store.eras() == std::vector<store_era>{2});
}

// Guards against an answer that was sent before the store returned from a copy and arrives after
// one of the new era: it would confirm what the store has lost.
TEST_CASE("an answer of an earlier era is refused", "[era]") {
    store_fixture store{R"({"items":[],"truncated":false,"storeRevision":9})"};
    store.set_era("2");
    REQUIRE(store.list());
    store.set_era("1");
    CHECK(store.list().fault == platform::store_fault::old_era);
    store.set_era("");
    CHECK(store.list().fault == platform::store_fault::old_era);
}

// Guards against a host that learns of the new era only from its first success: a watch from a
// position that the store does not have any more is refused.
TEST_CASE("an answer without success states the era as well", "[era]") {
    store_fixture store{"{}"};
    store.set_era("3", 410);
    CHECK(store.watch().fault == platform::store_fault::history_lost);
    CHECK(store.eras() == std::vector<store_era>{3});
}

// Guards against a condition that holds by accident: the store gives a lost revision to another
// change of the key.
TEST_CASE("a condition of an earlier era fails without a call", "[era]") {
    store_fixture store{R"({"rev":12,"items":[],"storeRevision":12})"};
    store.set_era("1");
    REQUIRE(store.list());
    const std::size_t calls = store.targets().size();
    CHECK(store.commit(7).fault == platform::store_fault::condition);
    CHECK(store.targets().size() == calls);
    const auto written = store.commit(revision_in_era(1, 7));
    REQUIRE(written);
    CHECK(*written.value == revision_in_era(1, 12));
    CHECK(store.last_body().find(R"("rev":7)") != std::string::npos);
    CHECK(store.commit(0));
}

TEST_CASE("a watch names the position as the store counts it", "[era]") {
    store_fixture store{R"({"events":[],"storeRevision":12})"};
    store.watch_after(revision_in_era(1, 7));
    CHECK(store.targets().back().find("after=7&") != std::string::npos);
}
