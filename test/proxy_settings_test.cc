#include <catch2/catch.hpp>

#include "proxy/settings.h"

using namespace jasminelead;
using namespace jasminelead::literals;
using namespace jasminelead::proxy;

namespace {

const std::string complete =
    "host: h1\ndata_centre: dc\nlisten: \"10.0.0.1:80\"\nreadiness: \"10.0.0.1:81\"\n"
    "address: \"10.0.0.1\"\npeer: \"10.0.0.1:82\"\nseeds: \"10.0.0.2:82,10.0.0.3:82\"\n"
    "store: \"10.0.0.9:90\"\nstop_grace_ms: 6e3\n";

}  // namespace

TEST_CASE("complete settings of a session daemon are parsed") {
    const auto result = parse_settings(complete);
    REQUIRE(std::holds_alternative<settings>(result));
    const auto& read = std::get<settings>(result);
    CHECK(read.host == host_id{"h1"});
    CHECK(read.stop_grace == 6_s);
    CHECK(read.seeds.size() == 2);
    CHECK(read.promotion.empty());
}

// Guards against a misspelt setting being ignored without an error.
TEST_CASE("every error in the settings is reported") {
    const auto result = parse_settings(complete + "speling: 1\nmetrics_port: 70000\n");
    REQUIRE(std::holds_alternative<settings_errors>(result));
    CHECK(std::get<settings_errors>(result).size() == 2);
    CHECK(std::holds_alternative<settings_errors>(parse_settings("listen: here")));
    CHECK(std::holds_alternative<settings_errors>(parse_settings("- 1")));
    CHECK(std::holds_alternative<settings_errors>(parse_settings("a: [")));
}
