#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Entries of endpoints that do not describe a usable endpoint, as other writers may leave them.
namespace jasminelead::test {

struct odd_entry {
    std::string what;
    std::string text;
};

/// An entry of the group "shows" in which the member `changed` has another value. An empty value
/// removes the member.
inline std::string entry_with(std::string_view changed, std::string_view value) {
    struct member {
        std::string_view name;
        std::string_view value;
    };
    const std::vector<member> members{{"service", "\"shows\""},
                                      {"addr", "\"127.0.0.1:9\""},
                                      {"zone", "\"dc\""},
                                      {"version", "\"v1\""},
                                      {"slots", "3"},
                                      {"state", "\"ready\""},
                                      {"coldLeftMs", "0"},
                                      {"dbRole", "\"replica\""},
                                      {"seq", "1"},
                                      {"born", "1700000000000"}};
    std::string text{"{"};
    for (const member& item : members) {
        const std::string_view used = item.name == changed ? value : item.value;
        if (!used.empty()) {
            text.append(text.size() > 1 ? "," : "").append("\"").append(item.name);
            text.append("\":").append(used);
        }
    }
    return text + "}";
}

inline std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

inline std::vector<odd_entry> deeply_nested_entries() {
    std::vector<odd_entry> entries;
    for (const std::size_t depth : {33, 1000, 100'000}) {
        const std::string levels = std::to_string(depth) + " levels";
        entries.push_back({levels, nested(depth)});
        entries.push_back({levels + " in version", entry_with("version", nested(depth))});
        entries.push_back({levels + " in slots", entry_with("slots", nested(depth))});
    }
    std::string open;
    for (int i = 0; i < 50'000; ++i) {
        open += "{\"a\":";
    }
    entries.push_back({"50000 open objects", open});
    return entries;
}

inline std::vector<odd_entry> entries_with_odd_numbers() {
    std::vector<odd_entry> entries;
    for (const char* value : {"1e300",
                              "-1e300",
                              "1e400",
                              "1e99999999999",
                              "4294967296",
                              "4294967295",
                              "18446744073709551615",
                              "18446744073709551616",
                              "99999999999999999999999",
                              "-1",
                              "0",
                              "2.5",
                              "1e-300",
                              "\"3\"",
                              "null",
                              "true",
                              "[3]",
                              "{}",
                              "NaN",
                              "Infinity"}) {
        entries.push_back({std::string{"slots "} + value, entry_with("slots", value)});
    }
    for (const char* value : {"1e300", "-1e300", "9223372036854775808", "18446744073709551616",
                              "1700000000000.5", "\"17\"", "null", "[]"}) {
        entries.push_back({std::string{"born "} + value, entry_with("born", value)});
    }
    return entries;
}

inline std::vector<odd_entry> entries_with_odd_addresses() {
    std::vector<odd_entry> entries;
    for (const char* value : {"\"127.0.0.1:0\"",
                              "\"127.0.0.1:65536\"",
                              "\"127.0.0.1:99999\"",
                              "\"127.0.0.1:-1\"",
                              "\"127.0.0.1:99999999999999999999\"",
                              "\"127.0.0.1:\"",
                              "\"127.0.0.1\"",
                              "\":80\"",
                              "\"127.0.0.1:8o\"",
                              "\"127.0.0.1:+80\"",
                              "\"127.0.0.1: 80\"",
                              "\"127.0.0.1:80 \"",
                              "\"127.0.0.1:80\\r\\n\"",
                              "\"127.0.0.1\\u0000x:80\"",
                              "\"300.0.0.1:80\"",
                              "\"db.example:80\"",
                              "\"[::1]\"",
                              "\"[::1:80\"",
                              "\"\"",
                              "\"127.0.0.1:80.0\"",
                              "8080",
                              "null",
                              "[\"127.0.0.1:80\"]",
                              ""}) {
        entries.push_back({std::string{"addr "} + value, entry_with("addr", value)});
    }
    return entries;
}

inline std::vector<odd_entry> entries_with_odd_texts() {
    std::vector<odd_entry> entries;
    for (const char* value : {"\"\"", "\"shows x\"", "\"shows\\r\\nSTARTUP\"", "\"sho\\u0000ws\"",
                              "\"\\u007f\"", "7", "null", "[\"shows\"]", ""}) {
        entries.push_back({std::string{"service "} + value, entry_with("service", value)});
    }
    entries.push_back(
        {"service of 1 MB", entry_with("service", '"' + std::string(1'000'000, 's') + '"')});
    for (const char* name : {"state", "dbRole"}) {
        for (const char* value :
             {"\"\"", "\"READY\"", "\"other\"", "\"ready \"", "1", "null", ""}) {
            entries.push_back({std::string{name} + " " + value, entry_with(name, value)});
        }
    }
    for (const char* value : {"5", "null", "[]", ""}) {
        entries.push_back({std::string{"zone "} + value, entry_with("zone", value)});
    }
    for (const char* text : {"", " ", "null", "17", "\"ready\"", "[]", "{}", "{", "\xff\xfe",
                             "{\"service\":\"shows\"", "{} {}", "\xef\xbb\xbf{}"}) {
        entries.push_back({std::string{"text "} + text, text});
    }
    entries.push_back({"1 MB of one byte", std::string(1'000'000, 'x')});
    entries.push_back({"a zero byte", std::string(1, '\0')});
    return entries;
}

}  // namespace jasminelead::test
