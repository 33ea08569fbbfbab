#include "settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "fiber_stream.h"

namespace jasminelead::daemon {
namespace {

constexpr std::size_t max_name_length = 64;
constexpr std::size_t secret_bytes = 32;
constexpr std::size_t max_token_keys = 8;
constexpr std::uint32_t max_workers = 64;
constexpr std::uint32_t max_client_connections_limit = 100'000;
constexpr std::uint32_t max_drain_timeout_ms = 600'000;

constexpr std::string_view name_range = "1 to 64 of the characters A-Z a-z 0-9 . _ -";
constexpr std::string_view address_range = "an IP address and port, such as 127.0.0.1:7400";

constexpr std::array<std::string_view, 12> member_names = {
    "host",      "data_centre",    "listen",          "advertise",
    "store",     "workers",        "token_keys",      "max_client_connections",
    "log_level", "routing_policy", "failover_policy", "drain_timeout_ms"};
constexpr std::array<std::string_view, 4> log_levels = {"debug", "info", "warn", "error"};

bool is_name(std::string_view text) {
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_address(std::string_view text) {
    const auto parsed = parse_address(text);
    return parsed && parsed->port() != 0;
}

bool is_log_level(std::string_view text) {
    return std::find(log_levels.begin(), log_levels.end(), text) != log_levels.end();
}

template <class Number>
std::optional<Number> parse_number(std::string_view text, int base = 10) {
    Number value = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data(), end, value, base);
    if (status != std::errc{} || rest != end) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> parse_hex(std::string_view text) {
    std::string bytes;
    for (std::size_t at = 0; at + 1 < text.size(); at += 2) {
        const auto byte = parse_number<std::uint8_t>(text.substr(at, 2), 16);
        if (!byte) {
            return std::nullopt;
        }
        bytes.push_back(static_cast<char>(*byte));
    }
    return text.size() % 2 == 0 ? std::optional{bytes} : std::nullopt;
}

using text_check = bool (*)(std::string_view);

/// Reads the settings and collects all errors, so that they can be corrected in one pass.
class settings_reader {
public:
    settings_reader(const YAML::Node& root, const environment& variables)
        : m_root{root}, m_variables{variables} {}

    std::variant<settings, settings_errors> read() {
        reject_unknown_members(m_root, member_names, "");
        m_settings.host = host_id{text("host", "JASMINELEAD_HOST", {}, is_name, name_range)};
        m_settings.data_centre =
            data_centre_id{text("data_centre", "JASMINELEAD_DATA_CENTRE", {}, is_name, name_range)};
        read_addresses();
        read_numbers();
        read_keys();
        read_choices();
        if (!m_errors.empty()) {
            return m_errors;
        }
        return m_settings;
    }

private:
    void read_addresses() {
        m_settings.listen = text("listen", "JASMINELEAD_LISTEN", {}, is_address, address_range);
        // Prevents a second error for `advertise` when only `listen` is missing.
        const std::string default_value = m_settings.listen.empty() ? "none" : m_settings.listen;
        m_settings.advertise =
            text("advertise", "JASMINELEAD_ADVERTISE", default_value, is_address, address_range);
        m_settings.store = text("store", "JASMINELEAD_STORE", {}, is_address, address_range);
    }

    void read_numbers() {
        number("workers", m_settings.workers, 1, max_workers);
        number("max_client_connections", m_settings.max_client_connections, 1,
               max_client_connections_limit);
        number("drain_timeout_ms", m_settings.drain_timeout_ms, 0, max_drain_timeout_ms);
    }

    void read_choices() {
        auto& s = m_settings;
        s.routing_policy = text("routing_policy", nullptr, s.routing_policy, is_name, name_range);
        s.failover_policy =
            text("failover_policy", nullptr, s.failover_policy, is_name, name_range);
        s.log_level = text("log_level", nullptr, s.log_level, is_log_level,
                           "one of debug, info, warn, error");
    }

    std::string text(const char* name, const char* variable, const std::string& default_value,
                     text_check check, std::string_view range) {
        const auto overriding = variable == nullptr ? std::nullopt : m_variables(variable);
        if (overriding) {
            if (!check(*overriding)) {
                m_errors.push_back(std::string{variable} + ": must be " + std::string{range});
            }
            return *overriding;
        }
        const YAML::Node node = m_root[name];
        if (!node.IsDefined()) {
            if (default_value.empty()) {
                m_errors.push_back(std::string{name} + ": missing; must be " + std::string{range});
            }
            return default_value;
        }
        if (!node.IsScalar() || !check(node.Scalar())) {
            add_error(node, name, range);
            return default_value;
        }
        return node.Scalar();
    }

    void number(const char* name, std::uint32_t& value, std::uint32_t min, std::uint32_t max) {
        const YAML::Node node = m_root[name];
        if (!node.IsDefined()) {
            return;
        }
        const auto parsed =
            node.IsScalar() ? parse_number<std::uint32_t>(node.Scalar()) : std::nullopt;
        if (!parsed || *parsed < min || *parsed > max) {
            add_error(node, name,
                      "a number from " + std::to_string(min) + " to " + std::to_string(max));
            return;
        }
        value = *parsed;
    }

    void read_keys() {
        const YAML::Node node = m_root["token_keys"];
        if (!node.IsDefined() || !node.IsSequence() || node.size() == 0 ||
            node.size() > max_token_keys) {
            add_error(node, "token_keys", "a list of 1 to 8 keys with id and secret");
            return;
        }
        for (const YAML::Node& key : node) {
            read_key(key);
        }
    }

    void read_key(const YAML::Node& key) {
        if (!key.IsMap()) {
            add_error(key, "token_keys", "a list of 1 to 8 keys with id and secret");
            return;
        }
        constexpr std::array<std::string_view, 2> key_members = {"id", "secret"};
        reject_unknown_members(key, key_members, "token_keys.");
        const auto id = parse_number<std::uint8_t>(scalar(key["id"]));
        if (!id || has_key(*id)) {
            add_error(key["id"], "token_keys.id", "a number from 0 to 255 that no other key has");
        }
        const auto secret = parse_hex(scalar(key["secret"]));
        if (!secret || secret->size() != secret_bytes) {
            add_error(key["secret"], "token_keys.secret", "64 hexadecimal digits");
        }
        if (id && secret) {
            m_settings.token_keys.emplace_back(*id, *secret);
        }
    }

    [[nodiscard]] bool has_key(std::uint8_t id) const {
        const auto& keys = m_settings.token_keys;
        return std::any_of(keys.begin(), keys.end(),
                           [id](const auto& key) { return key.first == id; });
    }

    static std::string scalar(const YAML::Node& node) {
        return node.IsDefined() && node.IsScalar() ? node.Scalar() : std::string{};
    }

    template <std::size_t Size>
    void reject_unknown_members(const YAML::Node& map,
                                const std::array<std::string_view, Size>& known,
                                const std::string& prefix) {
        for (const auto& member : map) {
            const std::string name = scalar(member.first);
            if (std::find(known.begin(), known.end(), name) == known.end()) {
                m_errors.push_back(line_prefix(member.first) + prefix + name + ": unknown setting");
            }
        }
    }

    void add_error(const YAML::Node& node, std::string_view name, std::string_view range) {
        m_errors.push_back(line_prefix(node) + std::string{name} + ": must be " +
                           std::string{range});
    }

    static std::string line_prefix(const YAML::Node& node) {
        if (!node.IsDefined() || node.Mark().is_null()) {
            return {};
        }
        return "line " + std::to_string(node.Mark().line + 1) + ": ";
    }

    const YAML::Node& m_root;
    const environment& m_variables;
    settings m_settings;
    settings_errors m_errors;
};

}  // namespace

std::optional<std::string> process_environment(const char* name) {
    const char* const value = std::getenv(name);
    return value == nullptr ? std::nullopt : std::optional<std::string>{value};
}

std::variant<settings, settings_errors> parse_settings(const std::string& yaml,
                                                       const environment& variables) {
    try {
        const YAML::Node root = YAML::Load(yaml);
        if (!root.IsMap()) {
            return settings_errors{"line 1: the settings must be a map of names and values"};
        }
        return settings_reader{root, variables}.read();
    } catch (const YAML::Exception& error) {
        return settings_errors{"line " + std::to_string(error.mark.line + 1) + ": " + error.msg};
    }
}

std::variant<settings, settings_errors> load_settings(const std::string& path,
                                                      const environment& variables) {
    const std::ifstream file{path};
    if (!file) {
        return settings_errors{path + ": cannot be read"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings(text.str(), variables);
}

}  // namespace jasminelead::daemon
