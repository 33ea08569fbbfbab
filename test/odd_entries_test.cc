#include "odd_entries.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "daemon/fiber_stream.h"
#include "platform/records.h"
#include "session_fleet.h"

using namespace jasminelead;
using namespace jasminelead::test;
using namespace jasminelead::platform;

namespace {

void check_all_rejected(const std::vector<odd_entry>& entries) {
    for (const odd_entry& entry : entries) {
        INFO(entry.what);
        CHECK_FALSE(decode_endpoint("servers/i-1", entry.text));
    }
}

}  // namespace

// Guards against an entry that exhausts the stack of the fiber that decodes it.
TEST_CASE("a deeply nested endpoint entry is rejected", "[odd-entries]") {
    check_all_rejected(deeply_nested_entries());
    CHECK(decode_endpoint("servers/i-1", nested(33)).fault == record_fault::nesting);
}

// Guards against numbers whose conversion is undefined: an endpoint with 0 slots is preferred for
// every read, and one with the largest number leaves its group with one gateway per data centre.
TEST_CASE("an endpoint entry with a number out of range is rejected", "[odd-entries]") {
    check_all_rejected(entries_with_odd_numbers());
    CHECK(decode_endpoint("servers/i-1", entry_with("slots", "1e300")).fault ==
          record_fault::number);
}

// Guards against an endpoint that can never be reached but counts as a member of its group.
TEST_CASE("an endpoint entry without a usable address is rejected", "[odd-entries]") {
    check_all_rejected(entries_with_odd_addresses());
    CHECK(decode_endpoint("servers/i-1", entry_with("addr", "\"127.0.0.1:65536\"")).fault ==
          record_fault::address);
}

// Guards against texts that break the lines sent to an endpoint.
TEST_CASE("an endpoint entry with malformed texts is rejected", "[odd-entries]") {
    check_all_rejected(entries_with_odd_texts());
    CHECK(decode_endpoint("servers/i-1", entry_with("state", "\"up\"")).fault ==
          record_fault::word);
    CHECK(decode_endpoint("servers/i-1", "{}").fault == record_fault::member);
    CHECK(decode_endpoint("servers/i-1", "{").fault == record_fault::json);
    CHECK(decode_endpoint("servers/i 1", entry_with("", "")).fault == record_fault::key);
    for (const std::string& id : {std::string{"i 1"}, std::string{"i\r\nQUERY"},
                                  std::string("i\0x", 3), std::string{"\x7f"}}) {
        INFO(id);
        CHECK_FALSE(decode_endpoint("servers/" + id, entry_with("", "")));
    }
}

TEST_CASE("unusual but complete endpoint entries are decoded", "[odd-entries]") {
    CHECK(decode_endpoint("servers/i-1", entry_with("", "")));
    CHECK(decode_endpoint("servers/i-1", entry_with("addr", "\"[::1]:65535\"")));
    CHECK(decode_endpoint("servers/i-1", entry_with("born", "")));
    CHECK(decode_endpoint("servers/i-1", entry_with("coldLeftMs", "1e300")));
    CHECK(decode_endpoint("servers/i-1", entry_with("seq", "\"x\"")));
    CHECK(decode_endpoint("servers/\xc3\xa9", entry_with("", "")));
}

// Guards against values that pass the decoder but break the code behind it.
TEST_CASE("every decoded endpoint entry has values in range", "[odd-entries]") {
    const bool holds = rc::check([] {
        const auto name = *rc::gen::element<std::string>("service", "addr", "zone", "slots",
                                                         "state", "dbRole", "born", "version");
        const auto digits =
            rc::gen::container<std::string>(rc::gen::elementOf(std::string{"0123456789+-.eE"}));
        const auto bytes =
            rc::gen::map(rc::gen::arbitrary<std::string>(),
                         [](const std::string& text) { return '"' + text.substr(0, 300) + '"'; });
        const auto ports = rc::gen::map(rc::gen::inRange(-70'000, 200'000), [](int port) {
            return "\"127.0.0.1:" + std::to_string(port) + '"';
        });
        const auto value = *rc::gen::oneOf(digits, bytes, ports);
        const auto key = "servers/" + *rc::gen::element<std::string>("i-1", "i 1", "", "\r\n");
        const auto endpoint = decode_endpoint(key, entry_with(name, value));
        if (!endpoint) {
            return;
        }
        const auto address = daemon::parse_address(endpoint->entry.address);
        RC_ASSERT(address.has_value());
        RC_ASSERT(address->port() != 0);
        RC_ASSERT(endpoint->slots >= 1U);
        RC_ASSERT(endpoint->slots <= 100'000U);
        RC_ASSERT(endpoint->entry.group.str().find_first_of(" \r\n") == std::string::npos);
        RC_ASSERT(endpoint->entry.id == endpoint_id{"i-1"});
        RC_ASSERT(!endpoint->entry.group.empty());
    });
    CHECK(holds);
}

// Guards against time limits whose conversion is undefined, and against negative ones.
TEST_CASE("a configuration with a number out of range is rejected", "[odd-entries]") {
    const std::string valid = config_text(3);
    REQUIRE(decode_config(valid));
    const auto with = [&valid](const std::string& member, const std::string& value) {
        std::string text = valid;
        const std::size_t at = text.find("\"" + member + "\":") + member.size() + 3;
        return text.replace(at, text.find_first_of(",}", at) - at, value);
    };
    for (const char* member :
         {"timeoutMs", "goalMs", "maxStaleMs", "txIdleMs", "priority", "maxConns", "version"}) {
        for (const char* value : {"1e300", "-1", "1e400", "\"5\"", "-1e300"}) {
            INFO(member << " " << value);
            CHECK_FALSE(decode_config(with(member, value)));
        }
    }
    for (const char* member : {"priority", "maxConns", "version"}) {
        INFO(member);
        CHECK_FALSE(decode_config(with(member, "2.5")));
        CHECK_FALSE(decode_config(with(member, "18446744073709551616")));
    }
    CHECK(decode_config(with("timeoutMs", "1500.5")));
    CHECK(decode_config(with("maxStaleMs", "1e9")));
}
