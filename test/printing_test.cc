#include "ctl/printing.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace jasminelead::ctl;

TEST_CASE("objects and lists of objects become aligned tables") {
    const auto value = boost::json::parse(
        R"({"host":"h1","ready":true,"peers":[{"host":"h2","state":"alive"},)"
        R"({"host":"host-30","revision":7}],"store":{"calls":3,"names":[1,2]},"none":null})");
    CHECK(to_tables(value) ==
          "host   h1\nready  true\nnone   -\n"
          "\npeers\nhost     state  revision\nh2       alive\nhost-30         7\n"
          "\nstore\ncalls  3\nnames  [1,2]\n");
}

// Guards against a crash on answers of unexpected form, for example from a newer daemon.
TEST_CASE("values of any form are printed") {
    for (const char* const text :
         {"[]", "{}", "null", "[1,[2]]", R"([{"a":{"b":1}}])", R"({"a":[[]]})"}) {
        CHECK_NOTHROW(to_tables(boost::json::parse(text)));
    }
}
