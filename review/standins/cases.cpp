// The scripts of the review. Each plays one order of events against daemons that run as separate
// processes and judges it by what clients and instances have seen.
#include "world.hpp"

using namespace world;

namespace {

const std::vector<std::string> zones{"pnw-sea", "pnw-pdx", "pnw-yvr"};

/// Six daemons in three zones, as in the users' small deployments.
void add_daemons(deployment& all, std::size_t count = 6) {
    for (std::size_t i = 0; i < count; ++i) {
        all.add_daemon(zones[i % zones.size()]);
    }
}

void add_routes(deployment& all, const std::string& service) {
    all.routes.push_back({"pay", "primary", service, 800, 150, 1, 0});
    all.routes.push_back({"view", "bounded_stale", service, 2000, 500, 2, 1500});
    all.routes.push_back({"award", "read_your_writes", service, 800, 250, 2, 2500});
}

/// Starts the daemons and waits until they serve and have been in touch for a while.
bool begin_day(deployment& all, double calm_ms = 5000) {
    all.put_config();
    all.start_all();
    if (!all.wait_until_served()) {
        note("the deployment did not serve within its time");
        return false;
    }
    sleep_ms(calm_ms);
    note("the day begins");
    return true;
}

/// Writes a new item as a client does: after a promise that nothing is kept, with a new id.
struct written {
    std::string id;
    double acknowledged = 0;
};
std::optional<written> write_until_done(client& session, const std::string& item,
                                        const std::string& data, double timeout_ms) {
    const double deadline = now_ms() + timeout_ms;
    while (now_ms() < deadline) {
        const std::string id = new_id();
        const answer result = session.query_as(id, "WRITE " + item + " " + data);
        if (result.ok()) {
            return written{id, result.received};
        }
        if (!result.complete) {
            return std::nullopt;
        }
        sleep_ms(100);
    }
    return std::nullopt;
}

int verdict(int result) {
    note(result == held     ? "verdict: the rule held"
         : result == broken ? "verdict: the rule was broken"
                            : "verdict: the case could not run");
    return result;
}

}  // namespace

#include "lost.hpp"
#include "route.hpp"
#include "smuggled.hpp"
#include "stale.hpp"

int main(int count, char** values) {
    ::signal(SIGPIPE, SIG_IGN);
    if (count != 3) {
        std::cerr << "usage: review-cases CASE FOLDER\n";
        return could_not_run;
    }
    const std::string name = values[1];
    const std::string folder = values[2];
    open_record(folder + "/record.txt");
    note("case " + name + (with_trouble() ? "" : " without the disruption"));
    char temporary[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(temporary) == nullptr) {
        return could_not_run;
    }
    std::thread{[] {
        sleep_ms(115000);
        note("the time of the script is over");
        flush_record();
        std::_Exit(could_not_run);
    }}.detach();
    const std::map<std::string, int (*)(deployment&)> cases{
        {"stale-after-replacement", stale_after_replacement},
        {"lost-under-load", lost_under_load},
        {"lost-in-turn", lost_in_turn},
        {"lost-planned-under-load", lost_planned_under_load},
        {"lost-beside-draining", lost_beside_draining},
        {"route-back", route_back},
        {"smuggled", smuggled},
    };
    const auto chosen = cases.find(name);
    int result = could_not_run;
    auto* const all = new deployment{temporary};
    if (chosen != cases.end()) {
        result = verdict(chosen->second(*all));
    }
    all->stop();
    flush_record();
    const char* const kept = std::getenv("KEEP");
    if (kept == nullptr) {
        std::filesystem::remove_all(temporary);
    } else {
        std::cerr << temporary << '\n';
    }
    // The threads of the stand-ins end with the process.
    std::_Exit(result);
}
