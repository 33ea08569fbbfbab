#pragma once

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "line_socket.h"
#include "proxy/session_daemon.h"
#include "session_endpoint.h"
#include "session_platform.h"

/// Session daemons in front of simulated endpoints and a simulated platform.
namespace jasminelead::test {

using namespace literals;
using support::session_endpoint;
using support::session_group_state;
using support::session_platform;

using tcp = boost::asio::ip::tcp;

/// A free address whose port is below the range from which Linux takes the ports of outgoing
/// connections: none of them can take it before a host listens on it.
inline std::string free_address() {
    constexpr int first_port = 20'000;
    constexpr int ports = 12'000;
    // Processes that run at the same time begin at different ports.
    static std::atomic<int> next = ::getpid() * 97;
    for (;;) {
        const int port = first_port + next++ % ports;
        const tcp::endpoint local{boost::asio::ip::address_v4::loopback(),
                                  static_cast<std::uint16_t>(port)};
        boost::asio::io_context io;
        tcp::acceptor probe{io, local.protocol()};
        boost::system::error_code error;
        probe.bind(local, error);
        if (!error) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

// Endpoints have three slots, so that this limit leaves connections for only one host. The others
// relay their statements to it.
constexpr int few_connections = 4;

/// Waits until all hosts have discovered each other and agree on the gateways.
inline void wait_for_stable_routing() {
    std::this_thread::sleep_for(std::chrono::milliseconds{1500});
}

inline std::string config_text(int version, int max_connections = 8) {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
      {"name":"r1","host":"pay","type":"primary","timeoutMs":1500,"goalMs":150,"priority":1,
       "service":"shows"},
      {"name":"r2","host":"view","type":"bounded_stale","timeoutMs":1500,"goalMs":500,
       "priority":2,"service":"shows","maxStaleMs":1500}],
      "services":[{"name":"shows","maxConns":)" +
           std::to_string(max_connections) + R"(}],"limits":{"txIdleMs":3000}})";
}

/// A client connection. Answers are read up to their READY line; lines are joined with "|".
class caller {
public:
    caller(std::uint16_t port, const std::string& database, const std::string& key = "u1")
        : m_socket{m_io} {
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
        m_first = exchange("STARTUP " + database + " " + key);
    }
    std::string query(const std::string& text) {
        return exchange("QUERY q" + std::to_string(++m_number) + " " + text);
    }
    [[nodiscard]] const std::string& first() const { return m_first; }
    /// True if the daemon closes the connection within 5 s and sends nothing before.
    bool is_closed_unasked() {
        pollfd input{m_socket.native_handle(), POLLIN, 0};
        return ::poll(&input, 1, 5000) == 1 && !support::read_line(m_socket, m_buffer);
    }

private:
    std::string exchange(const std::string& line) {
        boost::asio::write(m_socket, boost::asio::buffer(line + "\r\n"));
        std::string all;
        while (const auto answer = support::read_line(m_socket, m_buffer)) {
            all += *answer + "|";
            if (answer->starts_with("READY")) {
                return all;
            }
        }
        return all + "closed";
    }

    boost::asio::io_context m_io;
    tcp::socket m_socket;
    boost::asio::streambuf m_buffer;
    std::string m_first;
    int m_number = 0;
};

/// A simulated platform with one group of three endpoints, and session daemons in front of it.
class fleet {
public:
    /// `entries` are in the store before the hosts start.
    explicit fleet(int hosts = 1, int max_connections = 8, duration stop_grace = 400_ms,
                   const std::map<std::string, std::string>& entries = {},
                   const key_trust& trust = {})
        : m_stop_grace{stop_grace}, m_trust{trust} {
        for (const auto& [key, value] : entries) {
            m_platform.put(key, value);
        }
        for (const char* id : {"i-a", "i-b", "i-c"}) {
            m_endpoints.push_back(std::make_unique<session_endpoint>(m_group, "shows", id));
        }
        m_group->primary = "i-a";
        for (const auto& endpoint : m_endpoints) {
            list(*endpoint, endpoint->id() == "i-a" ? "primary" : "replica", "ready");
        }
        m_platform.put("op/config", config_text(3, max_connections));
        m_platform.on_promotion([this](const std::string&, const std::string& id) {
            {
                const std::lock_guard lock{m_group->lock};
                m_promotions.push_back(id);
            }
            m_effects.emplace_back([this, id, delay = m_promotion_delay.load()] {
                std::this_thread::sleep_for(delay);
                promote(id);
            });
        });
        for (int host = 0; host < hosts; ++host) {
            start_host(host);
        }
        for (int host = 0; host < hosts; ++host) {
            wait_until_served(host);
        }
    }

    ~fleet() {
        m_daemons.clear();
        for (std::thread& effect : m_effects) {
            effect.join();
        }
    }
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    /// Later promotions are answered at once and take effect after this time.
    void delay_promotions(std::chrono::milliseconds delay) { m_promotion_delay = delay; }
    /// The list of endpoints shows each promoted endpoint as the primary.
    void list_promotions() { m_lists_promotions = true; }
    /// Promotes an endpoint without a call of a host. Returns when the former primary has stopped.
    void promote_outside(const std::string& id) { promote(id); }
    /// The group's record in the store.
    [[nodiscard]] std::string primary_record() {
        return m_platform.value("jasminelead/fleet/group/shows").value_or("");
    }
    /// Endpoints of the promotion calls, in their order.
    [[nodiscard]] std::vector<std::string> promotions() {
        const std::lock_guard lock{m_group->lock};
        return m_promotions;
    }
    [[nodiscard]] std::string primary() {
        const std::lock_guard lock{m_group->lock};
        return m_group->primary;
    }
    /// Position of the group's last commit.
    [[nodiscard]] std::uint64_t position() {
        const std::lock_guard lock{m_group->lock};
        return m_group->position;
    }
    /// Commits at endpoints that were not the promoted primary.
    [[nodiscard]] int unpromoted_commits() {
        const std::lock_guard lock{m_group->lock};
        return m_group->unpromoted_commits;
    }

    /// Starts one more host, which need not be able to serve yet. Returns its index.
    std::size_t add_host() {
        start_host(static_cast<int>(m_daemons.size()));
        return m_daemons.size() - 1;
    }
    [[nodiscard]] std::uint16_t port(std::size_t host = 0) const { return m_daemons[host]->port(); }
    /// Where a host answers the requests of other hosts.
    [[nodiscard]] const std::string& peer_address(std::size_t host = 0) const {
        return m_peer_addresses[host];
    }
    session_endpoint& endpoint(std::size_t index) { return *m_endpoints[index]; }
    session_platform& platform() { return m_platform; }
    proxy::session_daemon& daemon(std::size_t host = 0) { return *m_daemons[host]; }
    void list(const session_endpoint& endpoint, const std::string& role, const std::string& state) {
        m_platform.put("servers/" + endpoint.id(),
                       R"({"service":")" + endpoint.group_name() + R"(","addr":")" +
                           endpoint.address() +
                           R"(","zone":"dc","version":"v1","slots":3,"state":")" + state +
                           R"(","coldLeftMs":0,"dbRole":")" + role + R"(","seq":1})");
    }
    std::vector<std::string> log() {
        const std::lock_guard lock{m_group->lock};
        return m_group->log;
    }
    /// Name of who connected, and text of each query that any endpoint ran.
    std::vector<std::string> named_runs() {
        const std::lock_guard lock{m_group->lock};
        return m_group->runs;
    }
    std::vector<std::string> startups() {
        const std::lock_guard lock{m_group->lock};
        return m_group->startups;
    }
    /// Number of queries with this text that any endpoint ran.
    std::size_t runs(const std::string& text) {
        std::size_t count = 0;
        for (const std::string& line : log()) {
            count += line.ends_with(text) ? 1 : 0;
        }
        return count;
    }

private:
    /// The former primary goes on for a second, or until it is told to step down.
    void promote(const std::string& id) {
        {
            const std::lock_guard lock{m_group->lock};
            if (m_group->primary == id) {
                return;
            }
            find(m_group->primary).lead_without_promotion(m_group->term);
            m_group->primary = id;
            ++m_group->term;
        }
        if (m_lists_promotions) {
            list(find(id), "primary", "ready");
        }
        std::this_thread::sleep_for(std::chrono::seconds{1});
        for (const auto& endpoint : m_endpoints) {
            endpoint->step_down();
        }
    }
    session_endpoint& find(const std::string& id) {
        return **std::find_if(m_endpoints.begin(), m_endpoints.end(),
                              [&id](const auto& endpoint) { return endpoint->id() == id; });
    }
    void start_host(int host) {
        proxy::settings options;
        options.host = host_id{"h" + std::to_string(host + 1)};
        options.data_centre = data_centre_id{"dc"};
        options.listen = "127.0.0.1:0";
        options.readiness = free_address();
        options.address = "127.0.0.1";
        options.peer = free_address();
        m_peer_addresses.push_back(options.peer);
        options.store = m_platform.address();
        options.promotion = m_platform.address();
        options.stop_grace = m_stop_grace;
        options.trust = m_trust;
        m_daemons.push_back(std::make_unique<proxy::session_daemon>(options));
        REQUIRE_FALSE(m_daemons.back()->start());
    }
    void wait_until_served(int host) {
        for (int i = 0; i < 200; ++i) {
            caller probe{port(static_cast<std::size_t>(host)), "pay"};
            if (probe.first() == "READY I -|" &&
                probe.query("READ probe").find("DONE") != std::string::npos) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
        FAIL("host " << host + 1 << " did not serve reads on route pay within 200 attempts");
    }

    duration m_stop_grace;
    key_trust m_trust;
    std::shared_ptr<session_group_state> m_group = std::make_shared<session_group_state>();
    std::vector<std::unique_ptr<session_endpoint>> m_endpoints;
    std::atomic<std::chrono::milliseconds> m_promotion_delay{};
    std::atomic<bool> m_lists_promotions = false;
    std::list<std::thread> m_effects;
    std::vector<std::string> m_promotions;
    session_platform m_platform;
    std::vector<std::string> m_peer_addresses;
    std::vector<std::unique_ptr<proxy::session_daemon>> m_daemons;
};

}  // namespace jasminelead::test
