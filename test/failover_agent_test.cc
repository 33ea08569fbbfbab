#include "proxy/failover_agent.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "session_fleet.h"

using jasminelead::duration;
using namespace jasminelead::test;
using namespace std::chrono_literals;

namespace {

// A newly started host replaces no primary for some seconds.
constexpr auto replacement_allowed_after = 8500ms;

/// Writes until another endpoint than `old_primary` has answered, at most for `limit`.
std::string write_until_replaced(caller& session, const std::string& old_primary,
                                 std::chrono::milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    std::string answer;
    do {
        std::this_thread::sleep_for(20ms);
        answer = session.query("WRITE k v");
    } while (std::chrono::steady_clock::now() < end &&
             (!answer.starts_with("DONE") || answer.find(old_primary) != std::string::npos));
    return answer;
}

}  // namespace

// Guards against commits at a former primary that was not stepped down: it still reports its role,
// so that its role does not show that the promotion has taken effect (rule ONE).
TEST_CASE("a successor that already reports the role is used only after its promotion") {
    fleet all;
    all.endpoint(1).lead_without_promotion(3);
    // The only candidate, also when its first answer to the host is late.
    all.list(all.endpoint(2), "replica", "draining");
    std::this_thread::sleep_for(replacement_allowed_after);
    all.delay_promotions(600ms);
    caller pay{all.port(), "pay"};
    all.list(all.endpoint(0), "primary", "draining");
    const std::string answer = write_until_replaced(pay, "i-a", 6000ms);
    CHECK(answer.find("signed-by-i-b") != std::string::npos);
    CHECK(all.unpromoted_commits() == 0);
    CHECK(all.promotions() == std::vector<std::string>{"i-b"});
}

// Guards against primaries that replace each other without end while the list of endpoints shows
// roles late.
TEST_CASE("a promoted endpoint that is listed as a replica is not replaced again") {
    fleet all;
    std::this_thread::sleep_for(replacement_allowed_after);
    caller pay{all.port(), "pay"};
    all.list(all.endpoint(0), "primary", "draining");
    write_until_replaced(pay, "i-a", 4000ms);
    all.list(all.endpoint(0), "replica", "ready");
    std::this_thread::sleep_for(4000ms);
    CHECK(all.promotions().size() == 1);
    CHECK(pay.query("WRITE k v").starts_with("DONE"));
}

// Guards against two promotions in progress: the first one may take effect after the second and
// leave the group with a primary that no host knows (rule ONE).
TEST_CASE("a promotion that takes effect late is awaited before another endpoint is promoted") {
    fleet all;
    std::this_thread::sleep_for(replacement_allowed_after);
    all.delay_promotions(4500ms);
    all.platform().set_promotions_silent(true);
    all.list_promotions();
    caller pay{all.port(), "pay"};
    all.list(all.endpoint(0), "primary", "draining");
    while (all.promotions().empty()) {
        std::this_thread::sleep_for(10ms);
    }
    all.endpoint(1).set_busy(true);
    std::this_thread::sleep_for(4300ms);
    all.endpoint(1).set_busy(false);
    const auto end = std::chrono::steady_clock::now() + 6s;
    std::string answer;
    while (std::chrono::steady_clock::now() < end) {
        answer = pay.query("WRITE k v");
        std::this_thread::sleep_for(20ms);
    }
    CHECK(answer.starts_with("DONE"));
    CHECK(all.unpromoted_commits() == 0);
}

// Guards against a second promotion when another host, or the platform's operator, has already
// promoted an endpoint.
TEST_CASE("an endpoint that leads already becomes the primary without a promotion") {
    fleet all;
    std::this_thread::sleep_for(replacement_allowed_after);
    caller pay{all.port(), "pay"};
    all.promote_outside("i-c");
    all.list(all.endpoint(0), "replica", "ready");
    const std::string answer = write_until_replaced(pay, "i-a", 5000ms);
    CHECK(answer.find("signed-by-i-c") != std::string::npos);
    CHECK(all.promotions().empty());
}

// Guards against an endpoint that is never used again after its shutdown was called off.
TEST_CASE("an endpoint that is no longer leaving can become the primary again") {
    fleet all;
    all.list_promotions();
    std::this_thread::sleep_for(replacement_allowed_after);
    caller pay{all.port(), "pay"};
    all.list(all.endpoint(0), "primary", "draining");
    write_until_replaced(pay, "i-a", 4000ms);
    all.list(all.endpoint(0), "replica", "ready");
    std::this_thread::sleep_for(1500ms);
    all.endpoint(1).crash();
    all.endpoint(2).crash();
    const auto end = std::chrono::steady_clock::now() + 8s;
    std::string answer;
    while (std::chrono::steady_clock::now() < end &&
           answer.find("signed-by-i-a") == std::string::npos) {
        std::this_thread::sleep_for(50ms);
        answer = caller{all.port(), "pay"}.query("WRITE k v");
    }
    CHECK(answer.starts_with("DONE"));
}

// Guards against a replacement that nobody finishes for seconds, because the host that began it
// ends (rule LOST: callers of other hosts wait for the new primary meanwhile).
TEST_CASE("a host that is stopping starts no replacement") {
    fleet all{1, 8, duration::from_ms(5000)};
    std::this_thread::sleep_for(replacement_allowed_after);
    caller holder{all.port(), "pay"};
    // The open transaction keeps the host running.
    holder.query("BEGIN");
    all.daemon().stop_gracefully();
    all.list(all.endpoint(0), "primary", "draining");
    std::this_thread::sleep_for(2300ms);
    CHECK(all.promotions().empty());
    CHECK(all.primary_record().find(R"("phase":"led")") != std::string::npos);
}

// Guards against a group without a primary while another host waits for the one that has ended
// between its promotion and the record.
TEST_CASE("a host that is stopping finishes the replacement that it has begun") {
    fleet all{1, 8, duration::from_ms(5000)};
    std::this_thread::sleep_for(replacement_allowed_after);
    all.delay_promotions(3000ms);
    all.list(all.endpoint(0), "primary", "draining");
    while (all.promotions().empty()) {
        std::this_thread::sleep_for(10ms);
    }
    all.daemon().stop_gracefully();
    all.daemon().wait_stopped();
    CHECK(all.primary_record().find(R"("phase":"led")") != std::string::npos);
    CHECK(all.primary_record().find("\"primary\":\"" + all.primary() + "\"") != std::string::npos);
}

// Guards against a group without a primary for the time after which the other hosts take over from
// one that may still be at work (5 s).
TEST_CASE("a replacement that a stopping host has to leave is taken over at once") {
    fleet all{2, 8, duration::from_ms(400)};
    std::this_thread::sleep_for(replacement_allowed_after);
    all.delay_promotions(1500ms);
    all.list(all.endpoint(0), "primary", "draining");
    while (all.promotions().empty()) {
        std::this_thread::sleep_for(10ms);
    }
    const bool is_first = all.primary_record().find(R"("changed_by":"h1")") != std::string::npos;
    const std::size_t stopping = is_first ? 0 : 1;
    all.daemon(stopping).stop_gracefully();
    all.daemon(stopping).wait_stopped();
    caller pay{all.port(1 - stopping), "pay"};
    CHECK(write_until_replaced(pay, "i-a", 4500ms).starts_with("DONE"));
    CHECK(all.unpromoted_commits() == 0);
}
