#include "ctl/arguments.h"

#include <catch2/catch.hpp>

using namespace jasminelead::ctl;

namespace {

parsed_arguments parse(std::vector<const char*> words) {
    words.insert(words.begin(), "jasminelead-ctl");
    return parse_arguments(static_cast<int>(words.size()), words.data());
}

}  // namespace

TEST_CASE("commands and options are read in any order") {
    const auto parsed = parse({"--store", "127.0.0.1:1", "table", "set", "a/b.c", "5", "--expect",
                               "", "--operator=anna", "--json"});
    REQUIRE(parsed.values);
    CHECK(parsed.values->positional == std::vector<std::string>{"table", "set", "a/b.c", "5"});
    CHECK(parsed.values->expect == "");
    CHECK(parsed.values->operator_name == "anna");
    CHECK(parsed.values->json);
    CHECK_FALSE(parse({"status"}).values->expect);
}

// Guards against a misspelled option, such as --expct, being silently ignored.
TEST_CASE("unknown options are refused") {
    const auto parsed = parse({"table", "set", "a", "b", "--expct", "c"});
    CHECK_FALSE(parsed.values);
    CHECK_FALSE(parsed.error.empty());
}
