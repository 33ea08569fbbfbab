#include "jasminelead/routing_config.h"

#include <catch2/catch.hpp>

using namespace jasminelead;

namespace {

std::shared_ptr<const routing_config> version(revision_number number) {
    routing_config config;
    config.version = number;
    return std::make_shared<const routing_config>(std::move(config));
}

}  // namespace

// Guards against reverting to an older configuration.
TEST_CASE("only a higher version is accepted") {
    config_holder holder;
    CHECK(holder.offer(version(7)));
    CHECK_FALSE(holder.offer(version(7)));
    CHECK_FALSE(holder.offer(version(6)));
    CHECK_FALSE(holder.offer(nullptr));
    CHECK(holder.offer(version(19)));
    CHECK(holder.version() == 19);
}
