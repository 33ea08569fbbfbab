#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

#include "endpoint_server.h"
#include "platform_server.h"

/// Runs a stand-in for the platform or for one database endpoint, for demonstrations and tests.
namespace {

using namespace jasminelead;
using namespace jasminelead::support;

std::string read_file(const std::string& path) {
    std::ifstream file{path};
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::map<endpoint_id, std::string> parse_peers(const std::vector<std::string>& items) {
    std::map<endpoint_id, std::string> peers;
    for (const std::string& item : items) {
        const std::size_t equals = item.find('=');
        if (equals == std::string::npos) {
            throw std::invalid_argument("--peer must be NAME=ADDRESS: " + item);
        }
        peers.emplace(endpoint_id{item.substr(0, equals)}, item.substr(equals + 1));
    }
    return peers;
}

endpoint_settings endpoint_settings_from(const cxxopts::ParseResult& arguments) {
    endpoint_settings settings;
    settings.entry.id = endpoint_id{arguments["id"].as<std::string>()};
    settings.entry.group = group_id{arguments["group"].as<std::string>()};
    settings.entry.address = arguments["listen"].as<std::string>();
    settings.primary = endpoint_id{arguments["primary"].as<std::string>()};
    settings.role =
        settings.primary == settings.entry.id ? endpoint_role::primary : endpoint_role::replica;
    settings.limits.max_connections = arguments["connections"].as<std::uint32_t>();
    settings.connect_delay_ms = arguments["connect-delay-ms"].as<std::int64_t>();
    settings.replication_interval_ms = arguments["replication-ms"].as<std::int64_t>();
    settings.peers = parse_peers(arguments["peer"].as<std::vector<std::string>>());
    return settings;
}

cxxopts::Options make_options() {
    cxxopts::Options options{"jasminelead-standin", "Stand-in for the platform or an endpoint"};
    auto add = options.add_options();
    add("role", "platform or endpoint", cxxopts::value<std::string>());
    add("listen", "IP address and port to listen on", cxxopts::value<std::string>());
    add("hosts", "file with the host list (platform)", cxxopts::value<std::string>());
    add("id", "endpoint name", cxxopts::value<std::string>()->default_value(""));
    add("group", "group name", cxxopts::value<std::string>()->default_value(""));
    add("primary", "name of the initial primary", cxxopts::value<std::string>()->default_value(""));
    add("peer", "NAME=ADDRESS of another endpoint of the group",
        cxxopts::value<std::vector<std::string>>()->default_value({}));
    add("connections", "connection limit", cxxopts::value<std::uint32_t>()->default_value("20"));
    add("connect-delay-ms", "time to open a connection in ms",
        cxxopts::value<std::int64_t>()->default_value("10"));
    add("replication-ms", "interval of replication pulls in ms",
        cxxopts::value<std::int64_t>()->default_value("2"));
    add("help", "print this help");
    return options;
}

int run(int argc, char** argv) {
    cxxopts::Options options = make_options();
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    const auto listen = arguments["listen"].as<std::string>();
    if (arguments["role"].as<std::string>() == "platform") {
        serve_platform(listen, read_file(arguments["hosts"].as<std::string>()));
    }
    serve_endpoint(endpoint_settings_from(arguments));
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "jasminelead-standin: " << error.what() << '\n';
        return 2;
    }
}
