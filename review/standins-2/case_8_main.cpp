// Rule CONFIG after the store has come back from an older copy: the daemons ignore each new
// configuration until the store's revisions have passed those that it has taken back.

#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <thread>

#include "case_support.hpp"
#include "soak/client.h"
#include "soak/clock.h"
#include "soak/instance.h"

namespace {

using namespace jasminelead::soak;
using namespace jasminelead::review;

constexpr std::size_t hosts = 6;
constexpr double calm_ms = 3000;
// A configuration each 80 ms for two seconds.
constexpr int storm_changes = 25;
constexpr double storm_gap_ms = 80;
// The store is away for half a second, and its copy is three seconds old then.
constexpr double away_after_copy_ms = 2500;
constexpr double away_ms = 500;
// The daemons are in touch again before the configuration that is judged.
constexpr double stable_window_ms = 4000;
constexpr double settle_ms = 1500;
constexpr double config_ms = 3000;
constexpr double judged_ms = 5000;
constexpr double pause_ms = 60;
constexpr std::size_t listed = 3;

/// Clients that send single statements to all daemons; remembers when each was sent.
class client_group {
public:
    client_group(const deployment& all, const std::string& database) {
        for (const daemon_process& daemon : all.daemons) {
            m_threads.emplace_back([this, &daemon, database] { run(daemon, database); });
        }
    }
    client_group(const client_group&) = delete;
    client_group& operator=(const client_group&) = delete;
    ~client_group() { stop(); }
    std::map<std::string, double> stop() {
        m_stopped = true;
        for (std::thread& item : m_threads) {
            item.join();
        }
        m_threads.clear();
        return m_sent;
    }

private:
    void run(const daemon_process& daemon, const std::string& database) {
        while (!m_stopped) {
            client session{daemon.front, database};
            for (int i = 0; !m_stopped && session.is_started(); ++i) {
                const std::string id = new_id();
                {
                    const std::lock_guard lock{m_lock};
                    m_sent[id] = now_ms();
                }
                const answer got = session.query_as(id, i % 4 == 0 ? "WRITE k1 v" : "READ k1");
                if (got.state() != 'I') {
                    break;
                }
                sleep_ms(pause_ms);
            }
            sleep_ms(pause_ms);
        }
    }

    std::atomic<bool> m_stopped = false;
    std::mutex m_lock;
    std::map<std::string, double> m_sent;
    std::list<std::thread> m_threads;
};

int play(const std::string& folder) {
    auto& all = *new deployment{folder};
    service& old_service = all.add_service("showbook", zones());
    service& new_service = all.add_service("archive", zones());
    all.routes.push_back({"pay", "primary", old_service.name, 800, 150, 1, 0});
    all.routes.push_back({"other", "primary", new_service.name, 800, 150, 1, 0});
    for (std::size_t i = 0; i < hosts; ++i) {
        all.add_daemon(zones()[i % zones().size()]);
    }
    all.put_config();
    all.start_all();
    if (!all.wait_until_served()) {
        all.stop();
        return exit_not_run;
    }
    client_group clients{all, "pay"};
    sleep_ms(calm_ms);
    all.keys.keep_copy();
    const double copied = now_ms();
    for (int i = 1; i <= storm_changes; ++i) {
        all.put_config(static_cast<std::uint32_t>(i));
        sleep_ms(storm_gap_ms);
    }
    say(std::to_string(storm_changes) + " configurations have changed time-outs");
    sleep_ms(copied + away_after_copy_ms - now_ms());
    if (has_trouble()) {
        all.keys.set_modes(store_mode::resets);
        sleep_ms(away_ms);
        all.keys.restore_copy();
        all.keys.set_modes(store_mode::serves);
        say("the store was away and has come back from a copy that is " +
            std::to_string(now_ms() - copied) + " ms old; the operator has written again");
    }
    sleep_ms(stable_window_ms + settle_ms);
    all.routes.front().service = new_service.name;
    all.put_config();
    const double acknowledged = now_ms();
    say("the store has acknowledged a configuration that moves the route of `pay` to " +
        new_service.name);
    sleep_ms(config_ms + judged_ms);
    const auto sent = clients.stop();
    all.stop();
    std::size_t old_runs = 0;
    std::size_t new_runs = 0;
    const auto is_judged = [&](const std::string& id) {
        const auto found = sent.find(id);
        return found != sent.end() && found->second > acknowledged + config_ms;
    };
    {
        const std::lock_guard lock{old_service.lock};
        for (const run_event& item : old_service.runs) {
            if (is_judged(item.id) && ++old_runs <= listed) {
                say("CONFIG statement " + item.id + " " + item.text + ", sent " +
                    std::to_string(sent.at(item.id) - acknowledged) +
                    " ms after the acknowledgement, ran at " + item.instance + " of " +
                    old_service.name + " from " + item.host);
            }
        }
    }
    {
        const std::lock_guard lock{new_service.lock};
        for (const run_event& item : new_service.runs) {
            new_runs += is_judged(item.id) ? 1 : 0;
        }
    }
    say("of the statements sent later than configMs after the acknowledgement, " +
        std::to_string(old_runs) + " ran at the old service and " + std::to_string(new_runs) +
        " at the new one");
    if (old_runs + new_runs == 0) {
        return exit_not_run;
    }
    return old_runs > 0 ? exit_broken : exit_held;
}

}  // namespace

int main(int count, char** values) {
    return run_case(count, values, play);
}
