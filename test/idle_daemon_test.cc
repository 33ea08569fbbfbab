#include "idle_daemon.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::support;
using namespace jasminelead::literals;

namespace {

constexpr std::size_t frame = 100;

const traffic& sent(const idle_daemon& daemon, traffic_kind kind) {
    return daemon.counts().sent.at(static_cast<std::size_t>(kind));
}

fleet_shape isolated_owner(std::size_t replicas) {
    fleet_shape shape;
    shape.has_own_data_centre = true;
    shape.groups = 10;
    shape.owned_replicas = replicas;
    return shape;
}

}  // namespace

// Guards against simulated peers that the kernel declares dead, which makes it claim endpoints or
// promote a replica during a measurement.
TEST_CASE("an idle daemon is ready and calls no endpoint that it does not own") {
    idle_daemon daemon{isolated_owner(0), [](const peer_message&) { return frame; }};
    // At its start it queries all endpoints of groups whose primary's owner has not reported yet.
    daemon.run_for(5_s);
    daemon.reset_counts();
    daemon.run_for(20_s);
    CHECK(daemon.core().ready());
    CHECK(daemon.core().context().fleet->hosts().size() == 6);
    CHECK(sent(daemon, traffic_kind::heartbeats).messages == 0);
    CHECK(sent(daemon, traffic_kind::group_queries).messages == 0);
}

// Guards against measuring a daemon whose claims failed, so that it owns no endpoint.
TEST_CASE("an owner of replicas asks the owners of their primaries every 500 ms") {
    idle_daemon daemon{isolated_owner(4), [](const peer_message&) { return frame; }};
    daemon.run_for(10_s);
    daemon.reset_counts();
    daemon.run_for(10_s);
    // 4 replicas, 20 queries each in 10 s, plus or minus one at the ends of the interval.
    const traffic& queries = sent(daemon, traffic_kind::group_queries);
    CHECK(queries.messages >= 76);
    CHECK(queries.messages <= 84);
    CHECK(queries.bytes == queries.messages * frame);
}
