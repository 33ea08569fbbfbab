#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>

#include "soak/clock.h"
#include "soak/instance.h"
#include "soak/judge.h"

using namespace jasminelead::soak;

namespace {

/// A service without daemons, whose instances are called directly. It is never freed, because the
/// threads of the stand-ins end with the process.
struct small_world {
    deployment& all = *new deployment{
        (std::filesystem::temp_directory_path() / "jasminelead-soak-judge-test").string()};
    service& group = all.add_service("svc", {"dc-a", "dc-b"});
    instance& old_primary = *group.instances[0];
    instance& other = *group.instances[1];
    disturbance_log disturbances;
    std::vector<attempt_record> attempts;

    small_world() { all.routes.push_back({"db", "primary", "svc"}); }
    /// Runs a statement at an instance for a host and records it as a client's attempt.
    void play(instance& at, const std::string& text) {
        client session{at.add_caller("host-1"), "svc"};
        const std::string id = new_id();
        const answer got = session.query_as(id, text);
        attempt_record attempt;
        attempt.session = attempts.size();
        attempt.host = "host-1";
        attempt.route_type = "primary";
        attempt.outcome = got.ok() ? attempt_outcome::done : attempt_outcome::promised;
        attempt.statements.push_back(
            {id, text, got.sent, got.received, got.ok(), got.signature(), got.rows()});
        attempts.push_back(attempt);
    }
    void promote_other() {
        old_primary.change([&] { old_primary.is_cut_off = true; });
        group.promote(other);
    }
    std::size_t count(const std::string& rule) {
        const auto found = judge({all, attempts, disturbances});
        return static_cast<std::size_t>(std::count_if(
            found.begin(), found.end(), [&](const auto& item) { return item.rule == rule; }));
    }
};

}  // namespace

// Guards against a judge that reports rules as broken where none is.
TEST_CASE("the judge of the soak accepts a replacement that keeps the rules") {
    small_world world;
    world.play(world.old_primary, "WRITE k 1");
    world.promote_other();
    world.play(world.other, "WRITE k 2");
    world.play(world.other, "READ k");
    CHECK(judge({world.all, world.attempts, world.disturbances}).empty());
}

// Guards against a judge that misses two primaries of one group.
TEST_CASE("the judge of the soak reports a commit at a former primary") {
    small_world world;
    world.promote_other();
    world.play(world.old_primary, "WRITE k 1");
    CHECK(world.count("ONE") == 1);
    world.disturbances.add(
        {"host-1", instance_target(world.old_primary.port()), now_ms() - 1000, now_ms()});
    CHECK(world.count("ONE") == 0);
}

// Guards against a judge that misses reads of old data at a former primary.
TEST_CASE("the judge of the soak reports a read without an acknowledged commit") {
    small_world world;
    world.promote_other();
    world.play(world.other, "WRITE k 2");
    world.play(world.old_primary, "READ k");
    CHECK(world.count("STALE") == 1);
}

// Guards against a judge that believes answers instead of what instances did.
TEST_CASE("the judge of the soak compares answers with what was run") {
    small_world world;
    world.play(world.old_primary, "WRITE k 1");
    world.attempts.back().outcome = attempt_outcome::promised;
    CHECK(world.count("REFUSED") == 1);
    world.attempts.back().outcome = attempt_outcome::done;
    world.attempts.back().statements.back().signature = "other";
    CHECK(world.count("MIXED") == 1);
    world.attempts.back().statements.back().text = "WRITE k 3";
    CHECK(world.count("UNASKED") == 1);
}
