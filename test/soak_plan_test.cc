#include "soak/soak_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <tuple>

using namespace jasminelead::soak;

namespace {

constexpr double length_ms = 30000;

auto members(const planned_fault& fault) {
    return std::tuple{fault.kind,  fault.at_ms,    fault.length_ms,
                      fault.value, fault.instance, fault.target};
}

bool are_equal(const std::vector<planned_fault>& one, const std::vector<planned_fault>& other) {
    return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                      [](const auto& a, const auto& b) { return members(a) == members(b); });
}

}  // namespace

// Guards against plans that differ between two runs of a seed.
TEST_CASE("a seed of the process soak fixes its plan") {
    for (const soak_profile& profile : soak_profiles()) {
        const auto plan = make_plan(profile, 7, length_ms);
        CHECK_FALSE(plan.empty());
        CHECK(are_equal(plan, make_plan(profile, 7, length_ms)));
        CHECK_FALSE(are_equal(plan, make_plan(profile, 8, length_ms)));
    }
}

// Guards against faults that last into the recovery, which is judged as if all had ended.
TEST_CASE("all faults of a plan end within its length") {
    for (const soak_profile& profile : soak_profiles()) {
        for (const planned_fault& fault : make_plan(profile, 3, length_ms)) {
            CHECK(fault.at_ms + fault.length_ms <= length_ms + 0.001);
        }
    }
}

// Guards against a kind of fault without a name, which the record then shows as unknown.
TEST_CASE("each kind of fault of a profile has a name") {
    for (const soak_profile& profile : soak_profiles()) {
        for (const fault_rate& rate : profile.rates) {
            CHECK(to_string(rate.kind) != "unknown");
        }
    }
}
