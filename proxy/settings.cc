#include "proxy/settings.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string_view>

#include "daemon/fiber_stream.h"

namespace jasminelead::proxy {
namespace {

std::string as_text(double number) {
    std::ostringstream text;
    text << number;
    return text.str();
}

/// Reads settings from a YAML map and collects a message for each error.
class settings_reader {
public:
    explicit settings_reader(const YAML::Node& document) : m_document{document} {}

    std::string text(const char* name) {
        const YAML::Node node = find(name);
        if (!node || !node.IsScalar() || node.Scalar().empty()) {
            m_errors.push_back(std::string{name} + ": a non-empty text is required");
            return {};
        }
        return node.Scalar();
    }
    std::string text_or(const char* name, const char* fallback) {
        const YAML::Node node = find(name);
        return node && node.IsScalar() ? node.Scalar() : std::string{fallback};
    }
    std::string address(const char* name) {
        std::string value = text(name);
        if (!value.empty() && !daemon::parse_address(value)) {
            m_errors.push_back(std::string{name} + ": not an IP address and port: " + value);
        }
        return value;
    }
    /// An address that may be absent, but not malformed.
    std::string optional_address(const char* name) {
        return find(name) ? address(name) : std::string{};
    }
    double number_or(const char* name, double fallback, double min, double max) {
        const YAML::Node node = find(name);
        if (!node) {
            return fallback;
        }
        double value = 0;
        if (!YAML::convert<double>::decode(node, value) || value < min || value > max) {
            m_errors.push_back(std::string{name} + ": must be a number from " + as_text(min) +
                               " to " + as_text(max));
            return fallback;
        }
        return value;
    }
    bool flag_or(const char* name, bool fallback) {
        const YAML::Node node = find(name);
        if (!node) {
            return fallback;
        }
        bool value = fallback;
        if (!YAML::convert<bool>::decode(node, value)) {
            m_errors.push_back(std::string{name} + ": must be true or false");
        }
        return value;
    }
    /// Reads a comma-separated list; empty when absent.
    std::vector<std::string> list(const char* name) {
        std::vector<std::string> values;
        std::stringstream text{text_or(name, "")};
        for (std::string value; std::getline(text, value, ',');) {
            values.push_back(value);
        }
        return values;
    }
    read_balance balance(const char* name) {
        const std::string value = text_or(name, "lowest_cost");
        if (value != "lowest_cost" && value != "random_choices") {
            m_errors.push_back(std::string{name} + ": must be lowest_cost or random_choices");
        }
        return value == "random_choices" ? read_balance::random_choices : read_balance::lowest_cost;
    }
    settings_errors finish() {
        for (const auto& member : m_document) {
            const std::string name = member.first.Scalar();
            if (!m_read.contains(name)) {
                m_errors.push_back(name + ": unknown setting");
            }
        }
        return std::move(m_errors);
    }

private:
    YAML::Node find(const char* name) {
        m_read.insert(name);
        return m_document[name];
    }

    const YAML::Node m_document;
    std::set<std::string> m_read;
    settings_errors m_errors;
};

settings read_settings(settings_reader& members) {
    constexpr double max_cores = 1024;
    constexpr double max_port = 65535;
    constexpr double max_stop_grace_ms = 600'000;
    constexpr double max_revocation_limit_ms = 600'000;
    constexpr double max_window_ms = 600'000;
    constexpr double max_slack = 1e6;
    settings result;
    result.host = host_id{members.text("host")};
    result.data_centre = data_centre_id{members.text("data_centre")};
    result.cpu_share = members.number_or("cpu_share", 1, 0.001, max_cores);
    result.listen = members.address("listen");
    result.readiness = members.address("readiness");
    result.address = members.text("address");
    result.metrics_port =
        static_cast<std::uint16_t>(members.number_or("metrics_port", 0, 0, max_port));
    result.peer = members.address("peer");
    result.peer_advertised = members.optional_address("peer_advertised");
    result.seeds = members.list("seeds");
    result.store = members.address("store");
    result.promotion = members.text_or("promotion", "");
    result.stop_grace = duration::from_ms(
        members.number_or("stop_grace_ms", result.stop_grace.ms(), 100, max_stop_grace_ms));
    result.trust.fail_closed = members.flag_or("fail_closed", false);
    result.trust.revocation_limit = duration::from_ms(
        members.number_or("key_revocation_limit_ms", result.trust.revocation_limit.ms(), 100,
                          max_revocation_limit_ms));
    result.balance = members.balance("read_balance");
    result.tolerance.window = duration::from_ms(
        members.number_or("limit_window_ms", result.tolerance.window.ms(), 100, max_window_ms));
    result.tolerance.excess = members.number_or("limit_excess", result.tolerance.excess, 0, 1);
    result.tolerance.slack = members.number_or("limit_slack", result.tolerance.slack, 0, max_slack);
    result.log_level = members.text_or("log_level", "info");
    return result;
}

}  // namespace

const std::string& advertised_peer_address(const settings& options) {
    return options.peer_advertised.empty() ? options.peer : options.peer_advertised;
}

std::variant<settings, settings_errors> parse_settings(const std::string& yaml) {
    YAML::Node document;
    try {
        document = YAML::Load(yaml);
    } catch (const YAML::Exception& error) {
        return settings_errors{error.what()};
    }
    if (!document.IsMap()) {
        return settings_errors{"the settings must be a YAML map"};
    }
    settings_reader members{document};
    settings result = read_settings(members);
    settings_errors errors = members.finish();
    if (!errors.empty()) {
        return errors;
    }
    return result;
}

std::variant<settings, settings_errors> load_settings(const std::string& path) {
    std::ifstream file{path};
    if (!file) {
        return settings_errors{path + ": cannot be read"};
    }
    std::stringstream text;
    text << file.rdbuf();
    return parse_settings(text.str());
}

}  // namespace jasminelead::proxy
