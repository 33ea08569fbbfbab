#include "jasminelead/retry_backoff.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

// Guards against thousands of calls during an outage of the store.
TEST_CASE("pauses double up to 500 ms and are reset by a success") {
    retry_backoff pauses;
    duration waited;
    int calls = 0;
    while (waited < 5_s) {
        waited = waited + pauses.on_failure();
        ++calls;
    }
    CHECK(calls <= 13);
    pauses.on_success();
    CHECK(pauses.on_failure() == 100_ms);
}
