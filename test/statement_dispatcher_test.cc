#include "proxy/statement_dispatcher.h"

#include <algorithm>

#include "session_fleet.h"

using namespace jasminelead;
using namespace jasminelead::test;

namespace {

constexpr int hosts = 3;

/// Number of connections that the primary accepted while the function ran.
template <class Function>
int new_connections(fleet& all, Function&& function) {
    const int before = all.endpoint(0).connections();
    function();
    return all.endpoint(0).connections() - before;
}

}  // namespace

// Guards against hosts competing for the few connections that an endpoint allows.
TEST_CASE("hosts that are not gateways forward their statements to one") {
    fleet all{hosts, few_connections};
    wait_for_stable_routing();
    const int opened = new_connections(all, [&all] {
        for (std::size_t host = 0; host < hosts; ++host) {
            for (int i = 0; i < 5; ++i) {
                caller pay{all.port(host), "pay"};
                CHECK(pay.query("WRITE g1 v" + std::to_string(i)).starts_with("DONE signed-by"));
                CHECK(pay.query("READ g1").starts_with("ROW v" + std::to_string(i)));
            }
        }
    });
    CHECK(opened <= few_connections);
}

TEST_CASE("values, prepared statements and transactions work through a gateway") {
    fleet all{hosts, few_connections};
    wait_for_stable_routing();
    for (std::size_t host = 0; host < hosts; ++host) {
        caller pay{all.port(host), "pay"};
        const std::string item = "t" + std::to_string(host);
        pay.query("SET lang es");
        pay.query("PREPARE s1 WRITE shape1");
        CHECK(pay.query("BEGIN") == "DONE -|READY T -|");
        CHECK(pay.query("EXECUTE s1 " + item + " v1") == "DONE signed-by-i-a|READY T -|");
        CHECK(pay.query("READ " + item).starts_with("ROW v1|DONE"));
        CHECK(pay.query("COMMIT") == "DONE signed-by-i-a|READY I -|");
        pay.query("BEGIN");
        CHECK(pay.query("WRITE " + item + " v2").starts_with("DONE"));
        CHECK(pay.query("ROLLBACK") == "DONE -|READY I -|");
        CHECK(pay.query("READ " + item).starts_with("ROW v1|"));
        CHECK(pay.query("BEGIN") == "DONE -|READY T -|");
        CHECK(pay.query("COMMIT").starts_with("DONE signed-by"));
    }
}

// Guards against applying a write twice by repeating it at another gateway.
TEST_CASE("a write whose answer is lost at a gateway has an unknown outcome and is not repeated") {
    fleet all{hosts, few_connections};
    wait_for_stable_routing();
    for (std::size_t host = 0; host < hosts; ++host) {
        caller pay{all.port(host), "pay"};
        const std::string text = "WRITE l" + std::to_string(host) + " v";
        all.endpoint(0).drop_next_response("WRITE");
        CHECK(pay.query(text).starts_with("ERROR UNKNOWN"));
        CHECK(all.runs(text) == 1);
    }
}

// Guards against failed statements on one host because its gateway on another host stops.
TEST_CASE("statements are sent to another gateway while one stops") {
    fleet all{hosts, few_connections};
    wait_for_stable_routing();
    std::vector<std::unique_ptr<caller>> callers;
    for (std::size_t host = 0; host < hosts; ++host) {
        callers.push_back(std::make_unique<caller>(all.port(host), "pay"));
    }
    for (std::size_t stopped = 0; stopped + 1 < hosts; ++stopped) {
        all.daemon(stopped).stop_gracefully();
        for (int i = 0; i < 20; ++i) {
            for (std::size_t host = stopped + 1; host < hosts; ++host) {
                CHECK(callers[host]->query("WRITE s v").starts_with("DONE"));
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
        all.daemon(stopped).wait_stopped();
    }
}

// Guards against open transactions that keep their connections after their callers disconnected.
TEST_CASE("a gateway rolls back a transaction whose caller disconnects") {
    fleet all{hosts, few_connections};
    wait_for_stable_routing();
    for (int i = 0; i < 2 * few_connections; ++i) {
        caller pay{all.port(static_cast<std::size_t>(i % hosts)), "pay"};
        pay.query("BEGIN");
        CHECK(pay.query("WRITE gone v" + std::to_string(i)).starts_with("DONE"));
    }
    caller pay{all.port(), "pay"};
    CHECK(pay.query("READ gone").starts_with("ROW none"));
}
