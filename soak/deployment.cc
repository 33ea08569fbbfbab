#include "soak/deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>

#include "soak/client.h"
#include "soak/clock.h"
#include "soak/instance.h"

namespace jasminelead::soak {
namespace {

namespace json = boost::json;

constexpr double grace_ms = 6000;
constexpr double end_poll_ms = 10;
constexpr double ready_timeout_ms = 1000;
constexpr double probe_interval_ms = 100;
constexpr std::size_t max_seeds = 3;
// Two hosts of each of three data centres read the store themselves.
constexpr std::size_t max_hosts_with_peer_links = 6;
constexpr std::size_t preloaded_commits = 5;
constexpr std::uint32_t timeout_variations = 5;
constexpr int timeout_step_ms = 100;

json::object route_row(const route& item) {
    json::object row{{"name", "r-" + item.database},
                     {"host", item.database},
                     {"prefix", "/"},
                     {"type", item.type},
                     {"timeoutMs", item.timeout_ms},
                     {"goalMs", item.goal_ms},
                     {"priority", item.priority},
                     {"service", item.service},
                     {"maxTries", 2}};
    if (item.type != "primary") {
        row["maxStaleMs"] = item.max_stale_ms;
    }
    return row;
}

json::object service_row(const service& item) {
    return {{"name", item.name}, {"healthPath", "/healthz"},
            {"maxConns", 22},    {"proto", "h1"},
            {"tls", false},      {"syncReplicas", item.synchronous}};
}

const json::object limits{{"maxHeaderBytes", 16384},
                          {"maxBodyBytes", 262144},
                          {"headerTimeoutMs", 3000},
                          {"idleTimeoutMs", 15000},
                          {"txIdleMs", 3000}};

/// The signal at the parent's death is sent when the thread that forked ends, so that one thread
/// which lasts as long as the program starts all daemons.
void run_on_lasting_thread(const std::function<void()>& work) {
    struct queue {
        std::mutex lock;
        std::condition_variable changed;
        const std::function<void()>* work = nullptr;
    };
    static std::mutex in_turn;
    static auto* const shared = [] {
        auto* const created = new queue;
        std::thread{[created] {
            std::unique_lock lock{created->lock};
            for (;;) {
                created->changed.wait(lock, [created] { return created->work != nullptr; });
                (*created->work)();
                created->work = nullptr;
                created->changed.notify_all();
            }
        }}.detach();
        return created;
    }();
    const std::lock_guard turn{in_turn};
    std::unique_lock lock{shared->lock};
    shared->work = &work;
    shared->changed.notify_all();
    shared->changed.wait(lock, [] { return shared->work == nullptr; });
}

}  // namespace

deployment::deployment(std::string folder, std::string program, unsigned seed)
    : promotions{[this](const std::string& name) { return find_service(name); }, seed},
      m_folder{std::move(folder)},
      m_program{std::move(program)} {
    std::filesystem::create_directories(m_folder);
}

service& deployment::add_service(const std::string& name, const std::vector<std::string>& zones,
                                 bool synchronous) {
    services.push_back(std::make_unique<service>(name, keys));
    service& added = *services.back();
    added.synchronous = synchronous;
    char letter = 'a';
    for (const std::string& zone : zones) {
        added.add_instance("i-" + name + "-" + letter++, zone).preload(preloaded_commits);
    }
    instance& first = *added.instances.front();
    first.change([&] {
        first.is_primary = true;
        added.leader = &first;
    });
    return added;
}

service* deployment::find_service(const std::string& name) {
    for (const auto& item : services) {
        if (item->name == name) {
            return item.get();
        }
    }
    return nullptr;
}

void deployment::replace_key(std::size_t chosen) {
    std::string old_key;
    {
        const std::lock_guard lock{m_config_lock};
        if (m_accounts.empty()) {
            return;
        }
        account& changed = m_accounts[chosen % m_accounts.size()];
        old_key = changed.key();
        ++changed.key_number;
        note("key of " + changed.name + " replaced");
    }
    put_config();
    const std::lock_guard lock{m_config_lock};
    m_removed_keys.push_back({old_key, now_ms()});
}

account deployment::account_of(std::size_t client_number) {
    const std::lock_guard lock{m_config_lock};
    return m_accounts.empty() ? account{} : m_accounts[client_number % account_count];
}

account deployment::probe_account() {
    const std::lock_guard lock{m_config_lock};
    return m_accounts.empty() ? account{} : m_accounts[account_limit_per_s > 0 ? account_count : 0];
}

std::vector<removed_key> deployment::removed_keys() {
    const std::lock_guard lock{m_config_lock};
    return m_removed_keys;
}

void deployment::put_config(std::uint32_t variation) {
    const std::lock_guard lock{m_config_lock};
    const std::size_t unlimited = account_limit_per_s > 0 ? 1 : 0;
    while (m_accounts.size() < account_count + unlimited) {
        m_accounts.push_back({"account" + std::to_string(m_accounts.size())});
    }
    json::array rows;
    for (route item : routes) {
        item.timeout_ms += static_cast<int>(variation % timeout_variations) * timeout_step_ms;
        rows.push_back(route_row(item));
    }
    if (variation / timeout_variations % 2 == 1) {
        route extra = routes.front();
        extra.database = "extra-" + std::to_string(m_version);
        rows.push_back(route_row(extra));
    }
    json::array groups;
    for (const auto& item : services) {
        json::object row = service_row(*item);
        row["syncReplicas"] = item->synchronous ? 1 : 0;
        groups.push_back(std::move(row));
    }
    m_version += 1;
    note("config version " + std::to_string(m_version));
    json::object config{{"version", m_version},
                        {"routes", std::move(rows)},
                        {"services", std::move(groups)},
                        {"limits", limits}};
    if (!m_accounts.empty()) {
        json::array accounts;
        for (const account& item : m_accounts) {
            json::object row{{"name", item.name},
                             {"apiKeys", json::array{json::string{item.key()}}}};
            if (accounts.size() + unlimited < m_accounts.size() && account_limit_per_s > 0) {
                row["ratePerS"] = account_limit_per_s;
                row["burst"] = account_limit_per_s;
            }
            accounts.push_back(std::move(row));
        }
        config["tenants"] = std::move(accounts);
    }
    keys.put("op/config", json::serialize(config));
}

void deployment::add_daemon(const std::string& zone) {
    const std::size_t number = daemons.size();
    daemon_process& added = daemons.emplace_back();
    added.host = "front-" + zone + "-" + std::to_string(number + 1);
    added.zone = zone;
    added.front = free_port();
    added.ready = free_port();
    added.control = free_port();
    added.metrics = free_port();
    added.store_caller = number;
    added.store_port = keys.add_caller();
    added.promotion_port = promotions.add_caller(added.host);
}

/// Each daemon sees addresses of its own, so that servers know who is connected to them.
void deployment::connect_links() {
    for (daemon_process& host : daemons) {
        host.store_port = links.add({host.host, store_target}, host.store_port);
        host.promotion_port = links.add({host.host, promotion_target}, host.promotion_port);
        for (const auto& group : services) {
            for (const auto& item : group->instances) {
                const std::uint16_t port = links.add({host.host, instance_target(item->port())},
                                                     item->add_caller(host.host));
                keys.set_address(host.store_caller, address_of(item->port()), address_of(port));
            }
        }
        connect_peers(host);
    }
}

/// The address of a peer is seen in the records of the store and in the seeds. With more hosts,
/// most of them learn it from another host, so that a link of their own cannot be told apart.
void deployment::connect_peers(daemon_process& host) {
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        const daemon_process& peer = daemons[i];
        std::string address = address_of(peer.control);
        if (&peer != &host && daemons.size() <= max_hosts_with_peer_links) {
            const std::string own = address_of(links.add({host.host, peer.host}, peer.control));
            keys.set_address(host.store_caller, address, own);
            address = own;
        }
        if (i < max_seeds) {
            host.seeds += (i == 0 ? "" : ",") + address;
        }
    }
}

void deployment::start_all() {
    connect_links();
    for (daemon_process& item : daemons) {
        start(item);
    }
}

/// The settings as the template of the deploy file renders them.
std::string deployment::write_settings(const daemon_process& item) const {
    const std::string path = m_folder + "/" + item.host + ".yaml";
    std::ofstream{path} << "host: \"" << item.host << "\"\ndata_centre: \"" << item.zone
                        << "\"\ncpu_share: 0.25\nlisten: \"" << address_of(item.front)
                        << "\"\nreadiness: \"" << address_of(item.ready)
                        << "\"\naddress: \"127.0.0.1\"\nmetrics_port: " << item.metrics
                        << "\npeer: \"" << address_of(item.control) << "\"\nseeds: \"" << item.seeds
                        << "\"\nstore: \"" << address_of(item.store_port) << "\"\npromotion: \""
                        << address_of(item.promotion_port) << "\"\nstop_grace_ms: 6e3\n";
    return path;
}

void deployment::start(daemon_process& item) {
    const std::string settings = "JASMINELEAD_SETTINGS=" + write_settings(item);
    const char* const inherited = std::getenv("PATH");
    const std::string search = std::string{"PATH="} + (inherited == nullptr ? "" : inherited);
    const std::string output = m_folder + "/" + item.host + ".log";
    const std::array<const char*, 3> arguments{m_program.c_str(), "--sessions", nullptr};
    const std::array<const char*, 5> variables{settings.c_str(), search.c_str(), "HOME=/tmp",
                                               "LANG=C.UTF-8", nullptr};
    pid_t pid = 0;
    run_on_lasting_thread([&] {
        pid = ::fork();
        if (pid == 0) {
            // The daemon also ends if this program is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execve(arguments[0], const_cast<char* const*>(arguments.data()),
                     const_cast<char* const*>(variables.data()));
            ::_exit(127);
        }
    });
    item.is_ending = false;
    item.started_at = now_ms();
    item.pid = pid;
    note("started " + item.host + " pid " + std::to_string(pid));
}

void deployment::signal(daemon_process& item, int number) {
    note("signal " + std::to_string(number) + " to " + item.host);
    if (item.pid > 0) {
        ::kill(item.pid, number);
    }
}

void deployment::kill(daemon_process& item) {
    const pid_t pid = item.pid;
    if (pid <= 0) {
        return;
    }
    item.is_ending = true;
    note("kill " + item.host);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    item.pid = 0;
}

void deployment::terminate(daemon_process& item) {
    const pid_t pid = item.pid;
    if (pid <= 0) {
        return;
    }
    item.is_ending = true;
    note("terminate " + item.host);
    ::kill(pid, SIGTERM);
    const double deadline = now_ms() + grace_ms;
    while (::waitpid(pid, nullptr, WNOHANG) == 0) {
        if (now_ms() > deadline) {
            kill(item);
            return;
        }
        sleep_ms(end_poll_ms);
    }
    note("ended " + item.host);
    item.pid = 0;
}

std::optional<std::string> deployment::own_end(daemon_process& item) {
    const pid_t pid = item.pid;
    int status = 0;
    if (pid <= 0 || item.is_ending || ::waitpid(pid, &status, WNOHANG) != pid) {
        return std::nullopt;
    }
    item.pid = 0;
    return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit status " + std::to_string(WEXITSTATUS(status));
}

bool deployment::is_ready(const daemon_process& item) {
    const int fd = connect_to(item.ready);
    if (fd < 0) {
        return false;
    }
    send_all(fd, "GET /jasminelead/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    stream_reader reader{fd};
    const auto head = reader.until("\r\n", now_ms() + ready_timeout_ms);
    ::close(fd);
    return head && head->find(" 200 ") != std::string::npos;
}

bool deployment::wait_until_served(double timeout_ms) {
    const double deadline = now_ms() + timeout_ms;
    for (const daemon_process& item : daemons) {
        for (const route& used : routes) {
            bool served = false;
            while (!served && now_ms() < deadline) {
                if (is_ready(item)) {
                    client probe{item.front, used.database, account_of(0).key()};
                    served = probe.is_started() && probe.query("READ seed").ok();
                }
                if (!served) {
                    sleep_ms(probe_interval_ms);
                }
            }
            if (!served) {
                note("no service of " + used.database + " by " + item.host);
                return false;
            }
        }
    }
    return true;
}

void deployment::stop() {
    for (daemon_process& item : daemons) {
        if (item.pid > 0) {
            ::kill(item.pid, SIGCONT);
            kill(item);
        }
    }
}

}  // namespace jasminelead::soak
