#include "jasminelead/host_liveness.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const instant start = instant::from_ms(10'000);
const host_id host{"h1"};

host_liveness with_lease_since(instant since) {
    host_liveness hosts;
    hosts.on_registered(host, since);
    hosts.on_lease(host, true, since);
    return hosts;
}

}  // namespace

TEST_CASE("an unknown host is neither registered nor live") {
    const host_liveness hosts;
    CHECK_FALSE(hosts.is_registered(host));
    CHECK_FALSE(hosts.is_live(host, start));
    CHECK_FALSE(hosts.is_voting(host, start));
}

// Guards against votes of a host that does not know yet which endpoints it can reach.
TEST_CASE("a host votes after it has held its lease for a second") {
    const host_liveness hosts = with_lease_since(start);
    CHECK(hosts.is_live(host, start));
    CHECK_FALSE(hosts.is_voting(host, start + 900_ms));
    CHECK(hosts.is_voting(host, start + 1_s));
    CHECK(hosts.voting_count(start + 1_s) == 1);
}

// Guards against removing a host whose lease expired early by mistake.
TEST_CASE("a host stays live for a grace period after its lease has expired") {
    host_liveness hosts = with_lease_since(start);
    hosts.on_lease(host, false, start + 5_s);
    CHECK(hosts.is_live(host, start + 5200_ms));
    CHECK(hosts.is_voting(host, start + 5200_ms));
    CHECK_FALSE(hosts.is_live(host, start + 5300_ms));
    hosts.on_lease(host, true, start + 6_s);
    CHECK(hosts.is_live(host, start + 6_s));
    CHECK_FALSE(hosts.is_voting(host, start + 6500_ms));
}

TEST_CASE("a newly registered host is live for a grace period without a lease") {
    host_liveness hosts;
    hosts.on_registered(host, start);
    CHECK(hosts.is_live(host, start + 1400_ms));
    CHECK_FALSE(hosts.is_live(host, start + 1500_ms));
}

// Guards against a replacement that does not wait for a host that may still use the old primary.
TEST_CASE("a host without a registration is dropped only after its leases have expired") {
    host_liveness hosts = with_lease_since(start);
    hosts.on_removed(host, start + 3_s);
    CHECK_FALSE(hosts.is_registered(host));
    CHECK(hosts.take_removed(1500_ms, start + 4_s).empty());
    CHECK(hosts.is_live(host, start + 4_s));
    CHECK(hosts.take_removed(1500_ms, start + 4500_ms) == std::vector{host});
    CHECK_FALSE(hosts.is_live(host, start + 4500_ms));
    CHECK(hosts.take_removed(1500_ms, start + 5_s).empty());
}

// Guards against a host that stays removed after its registration was removed by mistake.
TEST_CASE("a host that registers again is kept") {
    host_liveness hosts = with_lease_since(start);
    hosts.on_removed(host, start + 3_s);
    hosts.on_registered(host, start + 3500_ms);
    CHECK(hosts.is_registered(host));
    CHECK(hosts.take_removed(1500_ms, start + 10_s).empty());
    CHECK(hosts.is_voting(host, start + 10_s));
}
