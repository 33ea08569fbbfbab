// Rule LOST where a service has `syncReplicas`: in a planned replacement, the only candidate is a
// replica that receives nothing, and it is promoted without the acknowledged commits.

#include "case_support.h"
#include "soak/clock.h"
#include "soak/instance.h"
#include "soak/judge.h"
#include "soak/workload.h"

namespace {

using namespace jasminelead::soak;
using namespace jasminelead::review;

constexpr std::size_t hosts = 6;
// New daemons replace no primary for 8 s.
constexpr double calm_ms = 9000;
// A replica receives nothing for 6.5 s.
constexpr double deaf_ms = 6500;
// The instances are replaced one after the other.
constexpr double first_drain_ms = 500;
constexpr double release_gap_ms = 1000;
constexpr std::size_t listed = 3;

int play(const std::string& folder) {
    auto& all = *new deployment{folder};
    service& group = all.add_service("showbook", zones(), true);
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
    load_settings load;
    load.clients = 30;
    load.pause_ms = 200;
    load.prepared_share = 0;
    workload clients{all, load, 1};
    clients.start();
    sleep_ms(calm_ms);
    instance& primary = *group.instances[0];
    instance& deaf = *group.instances[1];
    instance& replica = *group.instances[2];
    if (has_trouble()) {
        deaf.change([&] { deaf.is_deaf = true; });
        say("replica " + deaf.id() + " receives nothing from now on");
    }
    const double begun = now_ms();
    sleep_ms(first_drain_ms);
    replica.change([&] { replica.is_draining = true; });
    say("replica " + replica.id() + " is draining; it still receives every commit");
    sleep_ms(release_gap_ms);
    primary.change([&] { primary.is_draining = true; });
    say("primary " + primary.id() + " is draining; it runs until the end of the case");
    sleep_ms(begun + deaf_ms - now_ms());
    deaf.change([&] { deaf.is_deaf = false; });
    clients.stop();
    all.stop();
    const disturbance_log disturbances;
    std::size_t lost = 0;
    for (const violation& item : judge({all, clients.attempts(), disturbances})) {
        lost += item.rule == "LOST" ? 1 : 0;
        if (item.rule != "LOST" || lost <= listed) {
            say(item.rule + " " + item.text);
        }
    }
    for (const promotion_event& done : group.promotions) {
        say("promoted " + done.instance + " with a log up to " + done.log_end.text());
    }
    say(std::to_string(lost) + " acknowledged commits are not in the log of a promoted instance");
    return lost > 0 ? exit_broken : exit_held;
}

}  // namespace

int main(int count, char** values) {
    return run_case(count, values, play);
}
