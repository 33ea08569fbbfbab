#include "proxy/status_pages.h"

#include <catch2/catch.hpp>
#include <future>
#include <stdexcept>

#include "daemon/http_pool.h"
#include "session_fleet.h"

using namespace jasminelead;
using namespace jasminelead::proxy;

namespace {

unsigned status_of(daemon::worker& home, const std::string& address, const std::string& target) {
    std::promise<unsigned> status;
    daemon::http_pool pool{home.io(), 1};
    home.post([&] {
        home.spawn([&] {
            daemon::http_call call;
            call.address = address;
            call.target = target;
            call.deadline = std::chrono::steady_clock::now() + std::chrono::seconds{2};
            const auto result = pool.call(call);
            const auto* const response = std::get_if<daemon::http_response>(&result);
            status.set_value(response == nullptr ? 0 : response->status);
        });
    });
    return status.get_future().get();
}

}  // namespace

// Guards against an exception in one request ending the whole process.
TEST_CASE("a page that throws is answered with status 500 and other pages still work") {
    daemon::worker home;
    status_pages pages{home, [](std::string_view target, std::string_view) -> page {
                           if (target == "/broken") {
                               throw std::out_of_range{"no such entry"};
                           }
                           return {200, "text/plain", "fine"};
                       }};
    const std::string address = test::free_address();
    REQUIRE_FALSE(pages.listen(address));
    CHECK(status_of(home, address, "/broken") == 500);
    CHECK(status_of(home, address, "/fine") == 200);
    std::promise<void> stopped;
    home.post([&] {
        pages.stop();
        stopped.set_value();
    });
    stopped.get_future().wait();
    home.stop();
}
