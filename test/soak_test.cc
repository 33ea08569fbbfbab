#include "soak.h"

#include <catch2/catch.hpp>

#include "scenario.h"

using namespace jasminelead;
using namespace jasminelead::support;

namespace {

std::string joined(const std::vector<std::string>& lines) {
    std::string text;
    for (const std::string& line : lines) {
        text += line + "\n";
    }
    return text;
}

soak_result run_seed(std::uint64_t seed, std::string_view disabled = {}) {
    soak_options options;
    options.seed = seed;
    options.deployment = seed % 2 == 0 ? "cascadia" : "cooperative";
    if (!disabled.empty()) {
        REQUIRE(disable_mechanism(options.enabled, disabled));
    }
    return run_soak(options, random_faults(seed));
}

/// True when one of the violations names the invariant.
bool names_invariant(const soak_result& result, std::string_view promise_name) {
    return joined(result.violations).find(promise_name) != std::string::npos;
}

}  // namespace

// Guards against faults that these seeds exposed: a violated invariant, or a group that no longer
// served writes.
TEST_CASE("invariants hold for seeds that failed before") {
    for (const std::uint64_t seed : {181, 190, 197, 2992, 3093}) {
        const soak_result result = run_seed(seed);
        INFO("seed " << seed << "\n" << joined(result.violations));
        CHECK(result.violations.empty());
        CHECK(result.done > 1000);
    }
}

// Guards against checks that cannot fail: a run must report the violation that the disabled
// mechanism prevents.
TEST_CASE("without fencing acknowledged writes are lost") {
    CHECK(names_invariant(run_seed(6, "fencing"), "superseded_ack"));
}

TEST_CASE("without the token check sessions miss their own writes") {
    CHECK(names_invariant(run_seed(2, "token_check"), "read_your_writes"));
}

TEST_CASE("without the retry guard writes run more than once") {
    CHECK(names_invariant(run_seed(6, "retry_guard"), "at_most_once"));
}

TEST_CASE("without connection discard replies reach the wrong request") {
    CHECK(names_invariant(run_seed(10, "connection_discard"), "answer_integrity"));
}

TEST_CASE("without claims the connection limit is exceeded") {
    CHECK(names_invariant(run_seed(2, "claim"), "connection_limit"));
}
