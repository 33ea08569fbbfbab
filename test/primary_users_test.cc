#include "jasminelead/primary_users.h"

#include <catch2/catch.hpp>

using namespace jasminelead;

namespace {

const host_id host{"h1"};

}  // namespace

// Guards against a process that registered shortly before the mark and counts as one that never
// used the primary (rule ONE).
TEST_CASE("only a process that registers after the last reading counts as restarted") {
    primary_users users;
    users.add(host, 1);
    CHECK_FALSE(users.has_restarted(host, 1));
    users.add(host, 2);
    CHECK_FALSE(users.has_restarted(host, 2));
    CHECK(users.has_restarted(host, 3));
    CHECK_FALSE(users.has_restarted(host_id{"unknown"}, 1));
    CHECK(users.hosts().size() == 1);
}
