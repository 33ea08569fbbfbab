#include "jasminelead/registry.h"

#include <catch2/catch.hpp>

#include "jasminelead/failover.h"

using namespace jasminelead;

TEST_CASE("policies register by name and unknown names are reported") {
    // Guards against policies dropped by the linker and mistyped names accepted silently.
    using registry = policy_registry<failover_policy>;
    CHECK(registry::names() == std::vector<std::string>{"default", "lease_only"});
    CHECK(registry::make("lease_only") != nullptr);
    CHECK(registry::make("none") == nullptr);
    core_context context;
    CHECK_THROWS_AS(failover(context, "none"), std::invalid_argument);
}
