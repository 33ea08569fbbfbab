#include <chrono>
#include <map>
#include <thread>

#include "odd_entries.h"
#include "session_fleet.h"

using namespace jasminelead;
using namespace jasminelead::test;

namespace {

bool serves(fleet& all, std::size_t host, const std::string& database) {
    for (int i = 0; i < 250; ++i) {
        caller probe{all.port(host), database};
        if (probe.first() == "READY I -|" &&
            probe.query("READ probe").find("DONE") != std::string::npos) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return false;
}

/// A configuration in which the route of the database "view" has another name.
std::string renamed_config(int version, const std::string& name) {
    std::string text = config_text(version);
    return text.replace(text.find("\"view\""), 6, '"' + name + '"');
}

std::vector<odd_entry> all_odd_entries() {
    std::vector<odd_entry> entries = deeply_nested_entries();
    for (const auto& more :
         {entries_with_odd_numbers(), entries_with_odd_addresses(), entries_with_odd_texts()}) {
        entries.insert(entries.end(), more.begin(), more.end());
    }
    return entries;
}

}  // namespace

// Guards against an entry of another writer that ends the process, or after which it no longer
// follows the store.
TEST_CASE("a daemon serves and follows the store with odd entries in the list", "[odd-entries]") {
    fleet all;
    int version = 10;
    for (const odd_entry& entry : all_odd_entries()) {
        INFO(entry.what);
        all.platform().put("servers/odd", entry.text);
        const std::string database = "d" + std::to_string(++version);
        all.platform().put("op/config", renamed_config(version, database));
        REQUIRE(serves(all, 0, database));
        REQUIRE(serves(all, 0, "pay"));
    }
    all.platform().remove("servers/odd");
    all.platform().put("op/config", renamed_config(++version, "last"));
    CHECK(serves(all, 0, "last"));
}

// Guards against keys of other writers that make a whole listing or watch unreadable.
TEST_CASE("a daemon follows the store with odd keys in the list", "[odd-entries]") {
    fleet all;
    int version = 10;
    const std::string valid = entry_with("", "");
    for (const std::string& key :
         {std::string{"servers/"}, std::string{"servers/a b"}, std::string{"servers/\r\nx"},
          std::string{"servers/\xff\xfe"}, std::string("servers/\0z", 10),
          "servers/" + std::string(192, 'k'), std::string{"\xc3"}, std::string{""},
          std::string{"jasminelead/fleet/host/"}, std::string{"jasminelead/fleet/group/"},
          std::string{"jasminelead/alive/"}, std::string{"jasminelead/stopped/"},
          "jasminelead/fleet/group/" + std::string(176, 'g')}) {
        INFO(key);
        all.platform().put(key, valid);
        const std::string database = "d" + std::to_string(++version);
        all.platform().put("op/config", renamed_config(version, database));
        REQUIRE(serves(all, 0, database));
    }
}

// Guards against an odd entry that counts as a second primary of its group, so that no host that
// starts afterwards learns which endpoint is the primary.
TEST_CASE("a daemon serves after a start with an odd entry of a primary", "[odd-entries]") {
    const auto [name, value] = GENERATE(table<std::string, std::string>({
        {"version", nested(1000)},
        {"slots", "1e300"},
        {"slots", "18446744073709551616"},
        {"addr", "\"127.0.0.1:99999\""},
        {"addr", "\"127.0.0.1:0\""},
    }));
    INFO(name << " " << value.substr(0, 40));
    std::string odd = entry_with(name, value);
    odd.replace(odd.find("replica"), 7, "primary");
    fleet all{1, 8, 400_ms, {{"servers/odd", odd}}};
    CHECK(serves(all, 0, "pay"));
}

// Guards against odd entries that keep hosts from following the store, whether they read it
// themselves or follow another host.
TEST_CASE("hosts that start with odd entries in the list serve and follow", "[odd-entries]") {
    std::map<std::string, std::string> entries;
    for (const odd_entry& entry : all_odd_entries()) {
        entries.emplace("servers/odd-" + std::to_string(entries.size()), entry.text);
    }
    fleet all{4, 8, 400_ms, entries};
    all.platform().put("servers/odd-late", deeply_nested_entries().back().text);
    all.platform().put("op/config", renamed_config(9, "late"));
    for (std::size_t host = 0; host < 4; ++host) {
        INFO("host " << host + 1);
        CHECK(serves(all, host, "late"));
    }
}

// Guards against a record under another key that names this host: its registration would count as
// outdated, and each confirmation would revoke its lease.
TEST_CASE("a host record that names another host does not revoke that host's lease",
          "[odd-entries]") {
    fleet all;
    caller pay{all.port(), "pay"};
    all.platform().put("jasminelead/fleet/host/odd",
                       R"({"host":"h1","incarnation":1,"peer":"127.0.0.1:9"})");
    int refused = 0;
    for (int i = 0; i < 150; ++i) {
        refused += pay.query("WRITE k v" + std::to_string(i)).starts_with("DONE") ? 0 : 1;
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    CHECK(refused == 0);
    CHECK(all.daemon().counters().value("unreadable_records", "host") == 1);
}
