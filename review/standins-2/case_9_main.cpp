// Rule LOST around planned work: the daemon that replaces a draining primary is stopped meanwhile,
// and another daemon that is stopped cuts off reads that still wait for a primary.

#include <array>
#include <atomic>
#include <list>
#include <mutex>
#include <thread>

#include "case_support.hpp"
#include "soak/client.h"
#include "soak/clock.h"
#include "soak/instance.h"
#include "soak/workload.h"

namespace {

using namespace jasminelead::soak;
using namespace jasminelead::review;

// As in the sheet of cbsg-shows, one data centre has a single daemon: the platform goes on using it
// when it is not ready, since fewer than half of its data centre's daemons are in rotation then.
constexpr std::array<std::size_t, 6> zone_of_host{0, 1, 2, 0, 1, 0};
// Comes first among the daemons that replace the primary of `showbook`.
constexpr std::size_t replacing_host = 3;
constexpr std::size_t judged_host = 2;
// New daemons replace no primary for 8 s.
constexpr double calm_ms = 9000;
// The machines are stopped in turn, 1.3 s apart.
constexpr double stop_gap_ms = 1300;
constexpr double drain_after_stop_ms = 1870;
constexpr double grace_ms = 6000;
constexpr double after_grace_ms = 1000;
constexpr double lost_slack_ms = 200;
constexpr int view_timeout_ms = 3000;
constexpr std::size_t readers = 40;
constexpr std::size_t writers = 6;
// Readers pause for different times, so that they do not fall into step.
constexpr double least_pause_ms = 50;
constexpr double pause_step_ms = 7;
constexpr double writer_pause_ms = 150;
constexpr double client_timeout_ms = 5000;
constexpr std::size_t listed = 3;

struct request {
    std::string id;
    double sent = 0;
    double ended = 0;
    bool is_answered = false;
};

/// Readers whose sessions serve a single operation each, at one daemon, and writers at another.
class reader_group {
public:
    reader_group(const daemon_process& daemon, const daemon_process& other) {
        for (std::size_t i = 0; i < readers; ++i) {
            m_threads.emplace_back([this, &daemon, i] {
                run(daemon, least_pause_ms + pause_step_ms * static_cast<double>(i));
            });
        }
        for (std::size_t i = 0; i < writers; ++i) {
            m_threads.emplace_back([this, &other] { write(other); });
        }
    }
    reader_group(const reader_group&) = delete;
    reader_group& operator=(const reader_group&) = delete;
    ~reader_group() { stop(); }
    std::vector<request> stop() {
        m_stopped = true;
        for (std::thread& item : m_threads) {
            item.join();
        }
        m_threads.clear();
        return m_requests;
    }

private:
    void run(const daemon_process& daemon, double reader_pause_ms) {
        while (!m_stopped) {
            client session{daemon.front, "view"};
            if (session.is_started()) {
                const std::string id = new_id();
                const answer got = session.query_as(id, "READ k1", client_timeout_ms);
                const std::lock_guard lock{m_lock};
                m_requests.push_back({id, got.sent, got.received, got.complete});
            }
            sleep_ms(reader_pause_ms);
        }
    }
    void write(const daemon_process& daemon) {
        while (!m_stopped) {
            client session{daemon.front, "pay"};
            while (!m_stopped && session.is_started() &&
                   session.query("WRITE k1 v").state() == 'I') {
                sleep_ms(writer_pause_ms);
            }
            sleep_ms(writer_pause_ms);
        }
    }

    std::atomic<bool> m_stopped = false;
    std::mutex m_lock;
    std::vector<request> m_requests;
    std::list<std::thread> m_threads;
};

int play(const std::string& folder) {
    auto& all = *new deployment{folder};
    service& group = all.add_service("showbook", zones());
    all.routes.push_back({"pay", "primary", group.name, 1000, 200, 1, 0});
    all.routes.push_back({"view", "bounded_stale", group.name, view_timeout_ms, 800, 2, 1500});
    for (const std::size_t zone : zone_of_host) {
        all.add_daemon(zones()[zone]);
    }
    all.put_config();
    all.start_all();
    if (!all.wait_until_served()) {
        all.stop();
        return exit_not_run;
    }
    sleep_ms(calm_ms);
    daemon_process& replacing = all.daemons[replacing_host];
    daemon_process& judged = all.daemons[judged_host];
    reader_group clients{judged, all.daemons.front()};
    sleep_ms(stop_gap_ms);
    say(replacing.host + " gets SIGTERM and is not started again");
    const double begun = now_ms();
    std::thread first_stop{[&] { deployment::terminate(replacing); }};
    sleep_ms(begun + stop_gap_ms - now_ms());
    say(judged.host + " gets SIGTERM");
    const double stopped = now_ms();
    std::thread second_stop{[&] { deployment::terminate(judged); }};
    sleep_ms(begun + drain_after_stop_ms - now_ms());
    instance& primary = *group.instances[0];
    if (has_trouble()) {
        primary.change([&] { primary.is_draining = true; });
        say("primary " + primary.id() + " is draining");
    }
    first_stop.join();
    second_stop.join();
    say(judged.host + " has ended after " + std::to_string(now_ms() - stopped) + " ms");
    const auto requests = clients.stop();
    sleep_ms(after_grace_ms);
    all.stop();
    std::size_t cut = 0;
    std::size_t answered = 0;
    for (const request& item : requests) {
        if (item.sent < stopped || item.sent > stopped + grace_ms + after_grace_ms) {
            continue;
        }
        answered += item.is_answered ? 1 : 0;
        const double held = item.ended - item.sent;
        if (!item.is_answered && held > lost_slack_ms && held < view_timeout_ms) {
            if (++cut <= listed) {
                say("LOST request " + item.id + ", sent " + std::to_string(item.sent - stopped) +
                    " ms after the SIGTERM, cut off without an answer after " +
                    std::to_string(held) + " ms");
            }
        }
    }
    for (const promotion_event& done : group.promotions) {
        say("promoted " + done.instance + " " + std::to_string(done.at - begun) +
            " ms after the first SIGTERM");
    }
    say("from the SIGTERM on " + std::to_string(answered) + " requests were answered and " +
        std::to_string(cut) + " cut off before their route's time-out");
    return cut > 0 ? exit_broken : exit_held;
}

}  // namespace

int main(int count, char** values) {
    return run_case(count, values, play);
}
