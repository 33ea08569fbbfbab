#include "jasminelead/retry_backoff.h"

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::literals;

// Guards against thousands of calls during an outage of the store.
TEST_CASE("pauses double up to half a second, and begin anew after a success") {
    retry_backoff pacer;
    duration waited;
    int calls = 0;
    while (waited < 5_s) {
        waited = waited + pacer.on_failure();
        ++calls;
    }
    CHECK(calls <= 13);
    pacer.on_success();
    CHECK(pacer.on_failure() == 100_ms);
}
