// Rule RECOVER after the store has come back from an older copy: a primary that is lost then is
// never replaced, because the daemons go on with revisions that the store has taken back.

#include <algorithm>
#include <atomic>
#include <list>
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
// New daemons replace no primary for 8 s.
constexpr double calm_ms = 9000;
constexpr double drain_after_copy_ms = 300;
// The store is away for half a second, and its copy is three seconds old then.
constexpr double away_after_copy_ms = 2500;
constexpr double away_ms = 500;
// The daemons are in touch again before the next fault.
constexpr double stable_window_ms = 4000;
constexpr double recovery_ms = 12000;
constexpr double judged_ms = 10000;
constexpr double pause_ms = 100;

struct request {
    double sent = 0;
    bool is_served = false;
};

/// Clients of all daemons and routes that send single statements, and what they were told.
class client_group {
public:
    explicit client_group(const deployment& all) {
        for (const daemon_process& daemon : all.daemons) {
            for (const route& used : all.routes) {
                m_threads.emplace_back([this, &daemon, &used] { run(daemon, used); });
            }
        }
    }
    client_group(const client_group&) = delete;
    client_group& operator=(const client_group&) = delete;
    ~client_group() { stop(); }
    std::vector<request> stop() {
        m_stopped = true;
        for (std::thread& item : m_threads) {
            item.join();
        }
        m_threads.clear();
        return m_requests;
    }

private:
    void run(const daemon_process& daemon, const route& used) {
        while (!m_stopped) {
            client session{daemon.front, used.database};
            for (int i = 0; !m_stopped && session.is_started(); ++i) {
                const bool writes = used.type != "bounded_stale" && i % 4 == 0;
                const answer got = session.query(writes ? "WRITE k1 v" : "READ k1", 3000);
                {
                    const std::lock_guard lock{m_lock};
                    m_requests.push_back({got.sent, got.ok()});
                }
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
    std::vector<request> m_requests;
    std::list<std::thread> m_threads;
};

struct served_share {
    std::size_t sent = 0;
    std::size_t served = 0;
    [[nodiscard]] bool is_under_a_quarter() const { return served * 4 < sent; }
    [[nodiscard]] std::string text() const {
        return std::to_string(served) + " of " + std::to_string(sent) + " requests served";
    }
};

served_share count(const std::vector<request>& requests, double from, double to) {
    served_share result;
    for (const request& item : requests) {
        if (item.sent >= from && item.sent < to) {
            ++result.sent;
            result.served += item.is_served ? 1 : 0;
        }
    }
    return result;
}

int play(const std::string& folder) {
    auto& all = *new deployment{folder};
    service& group = all.add_service("showbook", zones());
    all.routes.push_back({"pay", "primary", group.name, 800, 150, 1, 0});
    all.routes.push_back({"view", "bounded_stale", group.name, 2000, 500, 2, 1500});
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
    client_group clients{all};
    sleep_ms(calm_ms);
    instance& first = *group.instances[0];
    all.keys.keep_copy();
    const double copied = now_ms();
    sleep_ms(drain_after_copy_ms);
    first.change([&] { first.is_draining = true; });
    say("primary " + first.id() + " is draining");
    sleep_ms(copied + away_after_copy_ms - now_ms());
    if (group.leader == &first) {
        say("the primary was not replaced in time");
        all.stop();
        return exit_not_run;
    }
    instance& second = *group.leader;
    say(second.id() + " leads");
    if (has_trouble()) {
        all.keys.set_modes(store_mode::resets);
        sleep_ms(away_ms);
        all.keys.restore_copy();
        all.keys.set_modes(store_mode::serves);
        say("the store was away and has come back from a copy that is " +
            std::to_string(now_ms() - copied) + " ms old");
    }
    sleep_ms(stable_window_ms);
    const double lost = now_ms();
    second.leave();
    say("primary " + second.id() + " is lost for good");
    sleep_ms(recovery_ms + judged_ms);
    const auto requests = clients.stop();
    all.stop();
    const served_share before = count(requests, lost - stable_window_ms / 2, lost);
    const served_share after = count(requests, lost + recovery_ms, lost + recovery_ms + judged_ms);
    say("in the 2 s before the loss: " + before.text());
    say("from 12 s after the loss on: " + after.text());
    for (const promotion_record& call : all.promotions.calls()) {
        say("promotion of " + call.instance + " by " + call.holder + ", token " +
            std::to_string(call.token));
    }
    if (before.is_under_a_quarter() || after.sent == 0) {
        return exit_not_run;
    }
    return after.is_under_a_quarter() ? exit_broken : exit_held;
}

}  // namespace

int main(int count, char** values) {
    return run_case(count, values, play);
}
