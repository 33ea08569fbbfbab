#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "soak/host_links.h"
#include "soak/promotion_call.h"
#include "soak/service.h"
#include "soak/store.h"

/// A small deployment: the users' store, promotion call and services in this process, and daemons
/// as separate processes.
namespace jasminelead::soak {

struct daemon_process {
    std::string host;
    std::string zone;
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::uint16_t metrics = 0;
    std::uint16_t store_port = 0;  ///< By the host's own link, as all that follow.
    std::uint16_t promotion_port = 0;
    std::string seeds;
    std::size_t store_caller = 0;
    std::atomic<pid_t> pid = 0;
    std::atomic<double> started_at = 0;
    /// Set before this program ends the process.
    std::atomic<bool> is_ending = false;
};

struct route {
    std::string database;
    std::string type;
    std::string service;
    int timeout_ms = 800;
    int goal_ms = 250;
    int priority = 1;
    int max_stale_ms = 0;
};

/// A client account with one key at a time.
struct account {
    std::string name;
    int key_number = 1;
    [[nodiscard]] std::string key() const {
        return "key-" + name + "-" + std::to_string(key_number);
    }
};

/// A key that the operator took away.
struct removed_key {
    std::string key;
    double at = 0;  ///< When the store had acknowledged it.
};

class deployment {
public:
    /// Settings and logs are kept in `folder`; `program` is the daemon.
    explicit deployment(std::string folder, std::string program = "target/jasminelead",
                        unsigned seed = 1);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment() { stop(); }

    store keys;
    promotion_call promotions;
    std::vector<std::unique_ptr<service>> services;
    std::deque<daemon_process> daemons;
    std::vector<route> routes;
    std::size_t account_count = 0;   ///< Without accounts, no client needs a key.
    double account_limit_per_s = 0;  ///< Of operations, and as burst; 0: no limit.
    host_links links;

    service& add_service(const std::string& name, const std::vector<std::string>& zones,
                         bool synchronous = false);
    /// Null when there is no such service.
    service* find_service(const std::string& name);
    /// The operator writes a configuration with the present routes. A variation other than 0
    /// changes their timeouts and adds or removes a route that no client uses.
    void put_config(std::uint32_t variation = 0);
    /// The operator replaces the key of one account.
    void replace_key(std::size_t chosen);
    /// The account, with its present key, that a client uses; without a name if there are none.
    account account_of(std::size_t client_number);
    /// The account of the judge's own requests. With limits it is one that no client uses and that
    /// has no limit, so that a refusal is not that of an account at its limit.
    account probe_account();
    std::vector<removed_key> removed_keys();
    void add_daemon(const std::string& zone);
    /// Starts the daemons as the deploy file says, with the settings of its template.
    void start_all();
    void start(daemon_process& item);
    static void signal(daemon_process& item, int number);
    /// Ends the process at once, whatever its state.
    static void kill(daemon_process& item);
    /// Sends SIGTERM, and SIGKILL after the users' grace.
    static void terminate(daemon_process& item);
    /// How the process ended by itself; empty while it runs.
    static std::optional<std::string> own_end(daemon_process& item);
    static bool is_ready(const daemon_process& item);
    /// Waits until each daemon is ready and serves a read of each database.
    bool wait_until_served(double timeout_ms = 20000);
    /// Ends all processes that this deployment started.
    void stop();

private:
    void connect_links();
    void connect_peers(daemon_process& host);
    [[nodiscard]] std::string write_settings(const daemon_process& item) const;

    std::string m_folder;
    std::string m_program;
    std::mutex m_config_lock;
    std::vector<account> m_accounts;
    std::vector<removed_key> m_removed_keys;
    int m_version = 6;
};

}  // namespace jasminelead::soak
