#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "session_fleet.h"

using namespace jasminelead::test;
using namespace std::chrono_literals;

namespace {

// A newly started host replaces no primary for some seconds.
constexpr auto replacement_allowed_after = 8500ms;

/// Writes until an answer is wanted, at most for `limit`.
template <class Condition>
std::string write_until(std::uint16_t port, std::chrono::milliseconds limit, Condition is_wanted) {
    const auto end = std::chrono::steady_clock::now() + limit;
    std::string answer;
    do {
        std::this_thread::sleep_for(20ms);
        answer = caller{port, "pay"}.query("WRITE k v");
    } while (std::chrono::steady_clock::now() < end &&
             !(answer.starts_with("DONE") && is_wanted(answer)));
    return answer;
}

bool is_by(const std::string& answer, const std::string& endpoint) {
    return answer.find("signed-by-" + endpoint) != std::string::npos;
}

/// Replaces the primary after the copy of the store was taken.
std::string replace_after_copy(fleet& all) {
    std::this_thread::sleep_for(replacement_allowed_after);
    all.platform().keep_copy();
    all.list(all.endpoint(0), "primary", "draining");
    return write_until(all.port(), 4000ms,
                       [](const std::string& answer) { return !is_by(answer, "i-a"); });
}

/// Routes of a test, and `late` in addition.
std::string config_with_late_route(int version) {
    std::string text = config_text(version);
    const std::string first = R"("routes":[)";
    return text.insert(text.find(first) + first.size(),
                       R"({"name":"r3","host":"late","type":"primary","timeoutMs":1500,)"
                       R"("goalMs":150,"priority":1,"service":"shows"},)");
}

bool is_served(std::uint16_t port, const std::string& database, std::chrono::milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (caller{port, database}.first() == "READY I -|") {
            return true;
        }
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

}  // namespace

// Guards against two primaries in use after the store has returned from an older copy: a host that
// starts then knows only the restored record, and the replaced primary still takes writes.
TEST_CASE("a host that starts after the store has lost a record uses the present primary") {
    fleet all;
    const std::string replaced = replace_after_copy(all);
    REQUIRE(replaced.starts_with("DONE"));
    all.endpoint(0).lead_without_promotion(4);
    all.list(all.endpoint(0), "primary", "ready");
    all.platform().restore_copy();
    const std::size_t second = all.add_host();
    const std::string answer =
        write_until(all.port(second), 6000ms, [](const std::string&) { return true; });
    CHECK(answer.starts_with("DONE"));
    CHECK(is_by(answer, all.primary()));
    CHECK(all.unpromoted_commits() == 0);
    CHECK(all.promotions().size() == 1);
}

// Guards against a group without a primary for good: the store refuses each write whose condition
// names a lost revision.
TEST_CASE("a primary that is lost after the store has lost its record is replaced") {
    fleet all;
    REQUIRE(replace_after_copy(all).starts_with("DONE"));
    all.platform().restore_copy();
    const std::string before = all.primary();
    for (std::size_t i = 0; i < 3; ++i) {
        if (all.endpoint(i).id() == before) {
            all.endpoint(i).crash();
        }
    }
    all.list(all.endpoint(0), "replica", "ready");
    const std::string answer = write_until(
        all.port(), 12000ms, [&](const std::string& found) { return !is_by(found, before); });
    CHECK(answer.starts_with("DONE"));
    CHECK(all.unpromoted_commits() == 0);
}

// Guards against a configuration that no host follows because its revision is below a lost one.
TEST_CASE("a configuration written after the store has returned from a copy is applied") {
    fleet all;
    all.platform().keep_copy();
    for (int version = 4; version < 40; ++version) {
        all.platform().put("op/config", config_text(version));
    }
    std::this_thread::sleep_for(500ms);
    all.platform().restore_copy();
    std::this_thread::sleep_for(1000ms);
    all.platform().put("op/config", config_with_late_route(50));
    CHECK(is_served(all.port(), "late", 3000ms));
}

// Guards against changes that a watch passes over: its position is from an earlier era, and the
// store has counted beyond it before it answers again.
TEST_CASE("a configuration below the position of an earlier watch is applied") {
    fleet all;
    all.platform().keep_copy();
    for (int version = 4; version < 40; ++version) {
        all.platform().put("op/config", config_text(version));
    }
    std::this_thread::sleep_for(500ms);
    all.platform().set_available(false);
    std::this_thread::sleep_for(300ms);
    all.platform().restore_copy();
    all.platform().put("op/config", config_with_late_route(50));
    for (int i = 0; i < 100; ++i) {
        all.platform().put("op/notes", "{}");
    }
    all.platform().set_available(true);
    CHECK(is_served(all.port(), "late", 3000ms));
}
