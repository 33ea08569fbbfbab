#include "settings.h"

#include <catch2/catch.hpp>

using namespace jasminelead::daemon;

namespace {

constexpr const char* complete = R"(host: h1
data_centre: a
listen: 127.0.0.1:7400
store: 127.0.0.1:7000
token_keys:
  - {id: 3, secret: "000102030405060708090a0b0c0d0e0f000102030405060708090a0b0c0d0e0f"}
)";

std::optional<std::string> no_variables(const char* /*name*/) {
    return std::nullopt;
}

settings_errors errors_of(const std::string& yaml) {
    const auto parsed = parse_settings(yaml, no_variables);
    REQUIRE(std::holds_alternative<settings_errors>(parsed));
    return std::get<settings_errors>(parsed);
}

}  // namespace

TEST_CASE("complete settings are read, and the environment overrides them") {
    const environment variables = [](const char* name) {
        return std::string_view{name} == "JASMINELEAD_HOST" ? std::optional<std::string>{"h9"}
                                                            : std::nullopt;
    };
    const auto parsed = parse_settings(complete, variables);
    REQUIRE(std::holds_alternative<settings>(parsed));
    const auto& loaded = std::get<settings>(parsed);
    CHECK(loaded.host.str() == "h9");
    CHECK(loaded.advertise == loaded.listen);
    REQUIRE(loaded.token_keys.size() == 1);
    CHECK(loaded.token_keys[0].first == 3);
    CHECK(loaded.token_keys[0].second.substr(0, 2) == std::string{"\0\1", 2});
}

// Guards against reporting only the first error, so that operators need several attempts.
TEST_CASE("all errors are reported at once with line and allowed range") {
    const auto errors = errors_of(std::string{complete} +
                                  "workers: 0\ncolour: red\nlog_level: loud\nadvertise: here\n");
    REQUIRE(errors.size() == 4);
    CHECK(errors[0] == "line 8: colour: unknown setting");
    CHECK(errors[1] ==
          "line 10: advertise: must be an IP address and port, such as 127.0.0.1:7400");
    CHECK(errors[2] == "line 7: workers: must be a number from 1 to 64");
    CHECK(errors[3] == "line 9: log_level: must be one of debug, info, warn, error");
}

TEST_CASE("missing settings, bad keys and text that is not YAML are refused") {
    CHECK(errors_of("host: h1\n").size() == 4);
    CHECK(errors_of("{").size() == 1);
    CHECK(errors_of("- a\n").size() == 1);
    const std::string head = "host: h\ndata_centre: a\nlisten: 127.0.0.1:1\nstore: 127.0.0.1:2\n";
    CHECK(errors_of(head + "token_keys: [{id: 256, secret: ab}]\n").size() == 2);
    CHECK(errors_of(head + "token_keys: []\n").size() == 1);
}
