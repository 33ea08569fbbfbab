#include "fleet.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "http_server.h"

namespace jasminelead::support {
namespace {

namespace json = boost::json;

constexpr std::size_t groups = 3;
constexpr std::size_t data_centres = 3;
constexpr std::size_t daemon_count = 6;
constexpr int first_port = 21400;
constexpr int ready_attempts = 200;
constexpr std::chrono::milliseconds ready_interval{100};

std::string address(std::size_t index) {
    return "127.0.0.1:" + std::to_string(first_port + static_cast<int>(index));
}

std::string group_name(std::size_t group) {
    return "shows-" + std::to_string(group + 1);
}

std::string endpoint_name(std::size_t group, std::size_t data_centre) {
    return group_name(group) + "-" + static_cast<char>('a' + data_centre);
}

std::string data_centre_name(std::size_t index) {
    return std::string{"dc-"} + static_cast<char>('a' + index % data_centres);
}

std::string group_of(const std::string& endpoint) {
    return endpoint.substr(0, endpoint.rfind('-'));
}

std::string first_primary(const std::string& group) {
    return group + "-a";
}

}  // namespace

fleet::fleet(std::string programs, std::string work_directory)
    : m_programs{std::move(programs)},
      m_work_directory{std::move(work_directory)},
      m_platform_address{address(0)} {
    std::size_t port = 1;
    for (std::size_t g = 0; g < groups; ++g) {
        for (std::size_t d = 0; d < data_centres; ++d) {
            m_endpoint_addresses[endpoint_name(g, d)] = address(port++);
        }
    }
    for (std::size_t i = 0; i < daemon_count; ++i) {
        m_daemon_addresses.push_back(address(port++));
    }
}

void fleet::start() {
    std::filesystem::remove_all(m_work_directory);
    std::filesystem::create_directories(m_work_directory);
    write_host_list();
    write_table();
    start_platform();
    for (const auto& [name, where] : m_endpoint_addresses) {
        start_endpoint(name, first_primary(group_of(name)));
    }
    std::this_thread::sleep_for(ready_interval);
    if (ctl({"table", "import", m_work_directory + "/table.csv", "--operator", "demo"}) != 0) {
        throw std::runtime_error("cannot import the table, see ctl.log");
    }
    for (std::size_t i = 0; i < daemon_count; ++i) {
        write_daemon_settings(i);
        start_daemon(i);
    }
    wait_ready();
}

void fleet::start_platform() {
    m_platform.emplace_back(
        m_programs + "/jasminelead-standin",
        std::vector<std::string>{"--role", "platform", "--listen", m_platform_address, "--hosts",
                                 m_work_directory + "/hosts.json"},
        m_work_directory + "/platform.log");
}

void fleet::start_endpoint(const std::string& name, const std::string& primary) {
    std::vector<std::string> arguments{
        "--role",    "endpoint", "--listen", m_endpoint_addresses.at(name),
        "--id",      name,       "--group",  group_of(name),
        "--primary", primary};
    for (const auto& [peer, where] : m_endpoint_addresses) {
        if (peer != name && group_of(peer) == group_of(name)) {
            arguments.emplace_back("--peer");
            arguments.push_back(peer + "=" + where);
        }
    }
    m_endpoints.insert_or_assign(name, process{m_programs + "/jasminelead-standin", arguments,
                                               m_work_directory + "/" + name + ".log"});
}

void fleet::start_daemon(std::size_t index) {
    const std::string name = "host-" + std::to_string(index + 1);
    process started{m_programs + "/jasminelead",
                    {"--config", m_work_directory + "/" + name + ".yaml"},
                    m_work_directory + "/" + name + ".log"};
    if (index < m_daemons.size()) {
        m_daemons[index] = std::move(started);
    } else {
        m_daemons.push_back(std::move(started));
    }
}

void fleet::restart_daemon(std::size_t index) {
    start_daemon(index);
}

void fleet::restart_endpoint(const std::string& name) {
    // A stand-in does not persist its log, so it restarts empty and as a replica.
    start_endpoint(name, "none");
}

int fleet::ctl(const std::vector<std::string>& arguments) const {
    std::vector<std::string> all{"--store", m_platform_address, "--daemon",
                                 m_daemon_addresses.front()};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return process{m_programs + "/jasminelead-ctl", all, m_work_directory + "/ctl.log"}.wait();
}

void fleet::write_host_list() const {
    json::array hosts;
    for (std::size_t i = 0; i < daemon_count; ++i) {
        hosts.push_back(json::object{{"id", "host-" + std::to_string(i + 1)},
                                     {"data_centre", data_centre_name(i)},
                                     {"address", m_daemon_addresses[i]},
                                     {"state", "live"}});
    }
    json::array endpoints;
    for (std::size_t g = 0; g < groups; ++g) {
        for (std::size_t d = 0; d < data_centres; ++d) {
            const std::string name = endpoint_name(g, d);
            endpoints.push_back(json::object{{"id", name},
                                             {"group", group_name(g)},
                                             {"data_centre", data_centre_name(d)},
                                             {"address", m_endpoint_addresses.at(name)},
                                             {"state", "live"}});
        }
    }
    std::ofstream{m_work_directory + "/hosts.json"} << json::serialize(
        json::object{{"hosts", std::move(hosts)}, {"endpoints", std::move(endpoints)}});
}

void fleet::write_daemon_settings(std::size_t index) const {
    const std::string name = "host-" + std::to_string(index + 1);
    std::ofstream file{m_work_directory + "/" + name + ".yaml"};
    file << "host: " << name << "\n"
         << "data_centre: " << data_centre_name(index) << "\n"
         << "listen: " << m_daemon_addresses[index] << "\n"
         << "advertise: " << m_daemon_addresses[index] << "\n"
         << "store: " << m_platform_address << "\n"
         << "workers: 1\n"
         << "token_keys:\n  - id: 1\n    secret: " << std::string(64, 'a') << "\n";
}

void fleet::write_table() const {
    std::ofstream file{m_work_directory + "/table.csv"};
    file << "kind,name,group,read_weight,max_connections,slots,max_age_ms,share,durability\r\n";
    for (std::size_t g = 0; g < groups; ++g) {
        file << "group," << group_name(g) << ",,,,,2000,,replica\r\n";
    }
    for (const auto& [name, where] : m_endpoint_addresses) {
        file << "endpoint," << name << "," << group_of(name) << ",100,20,3,,,\r\n";
    }
    file << "service,awards,,,30,,,2,\r\n"
         << "service,schedules,,,30,,,1,\r\n";
}

void fleet::wait_ready() const {
    std::size_t ready = 0;
    for (int i = 0; i < ready_attempts && ready < daemon_count; ++i) {
        std::this_thread::sleep_for(ready_interval);
        ready = 0;
        for (const std::string& daemon : m_daemon_addresses) {
            const auto reply = get_json(daemon, "/readyz", ready_interval.count());
            ready += reply && reply->status == boost::beast::http::status::ok ? 1 : 0;
        }
    }
    if (ready < daemon_count) {
        throw std::runtime_error("only " + std::to_string(ready) + " of " +
                                 std::to_string(daemon_count) + " daemons are ready");
    }
}

}  // namespace jasminelead::support
