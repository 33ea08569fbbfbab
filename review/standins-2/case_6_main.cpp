// Rule STALE after the store has come back from an older copy: daemons that start then use the
// primary that the copy names, while the others use its successor.

#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <thread>

#include "case_support.hpp"
#include "soak/client.h"
#include "soak/clock.h"
#include "soak/instance.h"
#include "soak/judge.h"
#include "soak/workload.h"

namespace {

using namespace jasminelead::soak;
using namespace jasminelead::review;

constexpr std::size_t hosts = 6;
constexpr std::size_t lost_hosts = 3;
// New daemons replace no primary for 8 s.
constexpr double calm_ms = 9000;
constexpr double drain_after_copy_ms = 300;
// The store is away for half a second, and its copy is four seconds old then.
constexpr double away_after_copy_ms = 3500;
constexpr double away_ms = 500;
constexpr double start_after_copy_ms = 4300;
constexpr double probe_ms = 3000;
constexpr double pause_ms = 15;
constexpr std::size_t probes = 2;
constexpr std::size_t listed = 3;

/// Reads on the `primary` route through some daemons, and what the clients were told.
class prober {
public:
    explicit prober(std::deque<daemon_process>& daemons) {
        for (std::size_t i = 0; i < lost_hosts * probes; ++i) {
            m_threads.emplace_back([this, &daemons, i] { run(daemons[i % lost_hosts], i); });
        }
    }
    prober(const prober&) = delete;
    prober& operator=(const prober&) = delete;
    ~prober() { stop(); }
    std::vector<attempt_record> stop() {
        m_stopped = true;
        for (std::thread& item : m_threads) {
            item.join();
        }
        m_threads.clear();
        return m_attempts;
    }

private:
    // Sessions of the workload have smaller numbers.
    static constexpr std::uint64_t first_session = 1'000'000;

    void run(const daemon_process& daemon, std::uint64_t number) {
        for (std::uint64_t opened = 0; !m_stopped; ++opened) {
            client session{daemon.front, "pay"};
            while (!m_stopped && session.is_started() &&
                   read(session, daemon, first_session + opened * hosts * probes + number)) {
                sleep_ms(pause_ms);
            }
            sleep_ms(pause_ms);
        }
    }
    bool read(client& session, const daemon_process& daemon, std::uint64_t number) {
        const std::string id = new_id();
        const std::string text = "READ k1";
        const answer got = session.query_as(id, text, 3000);
        attempt_record attempt;
        attempt.session = number;
        attempt.host = daemon.host;
        attempt.route_type = "primary";
        attempt.outcome = got.ok() ? attempt_outcome::done : attempt_outcome::unknown;
        attempt.statements.push_back(
            {id, text, got.sent, got.received, got.ok(), got.signature(), got.rows()});
        const std::lock_guard lock{m_lock};
        m_attempts.push_back(std::move(attempt));
        return got.state() == 'I';
    }

    std::atomic<bool> m_stopped = false;
    std::mutex m_lock;
    std::vector<attempt_record> m_attempts;
    std::list<std::thread> m_threads;
};

int play(const std::string& folder) {
    auto& all = *new deployment{folder};
    service& group = all.add_service("showbook", zones());
    all.routes.push_back({"pay", "primary", group.name, 800, 150, 1, 0});
    all.routes.push_back({"award", "read_your_writes", group.name, 800, 250, 2, 2500});
    for (std::size_t i = 0; i < hosts; ++i) {
        all.add_daemon(zones()[i % zones().size()]);
    }
    all.put_config();
    all.start_all();
    if (!all.wait_until_served()) {
        all.stop();
        return exit_not_run;
    }
    load_settings load;
    load.clients = 30;
    load.pause_ms = 150;
    load.write_share = 0.5;
    load.transaction_share = 0;
    load.prepared_share = 0;
    workload clients{all, load, 1};
    clients.start();
    sleep_ms(calm_ms);
    instance& first = *group.instances[0];
    all.keys.keep_copy();
    const double copied = now_ms();
    for (std::size_t i = 0; i < lost_hosts; ++i) {
        deployment::kill(all.daemons[i]);
    }
    say("three of six daemons are killed, and their machines stay down");
    sleep_ms(drain_after_copy_ms);
    first.change([&] { first.is_draining = true; });
    say("primary " + first.id() + " is draining; it runs until the end of the case");
    sleep_ms(copied + away_after_copy_ms - now_ms());
    if (group.leader == &first) {
        say("the primary was not replaced in time");
        all.stop();
        return exit_not_run;
    }
    say(group.leader->id() + " leads");
    if (has_trouble()) {
        all.keys.set_modes(store_mode::resets);
        sleep_ms(away_ms);
        all.keys.restore_copy();
        all.keys.set_modes(store_mode::serves);
        say("the store was away and has come back from a copy that is " +
            std::to_string(now_ms() - copied) + " ms old");
    }
    sleep_ms(copied + start_after_copy_ms - now_ms());
    for (std::size_t i = 0; i < lost_hosts; ++i) {
        all.start(all.daemons[i]);
    }
    say("the three daemons start again");
    prober reads{all.daemons};
    sleep_ms(probe_ms);
    auto attempts = reads.stop();
    clients.stop();
    all.stop();
    for (const attempt_record& item : clients.attempts()) {
        attempts.push_back(item);
    }
    const disturbance_log disturbances;
    std::map<std::string, std::size_t> found;
    for (const violation& item : judge({all, attempts, disturbances})) {
        if (++found[item.rule] <= listed) {
            say(item.rule + " " + item.text);
        }
    }
    for (const promotion_event& done : group.promotions) {
        say("promoted " + done.instance + " in term " + std::to_string(done.term) + " at " +
            std::to_string(done.at) + " ms");
    }
    for (const auto& [rule, count] : found) {
        say(rule + " was broken " + std::to_string(count) + " times");
    }
    return found["STALE"] > 0 ? exit_broken : exit_held;
}

}  // namespace

int main(int count, char** values) {
    return run_case(count, values, play);
}
