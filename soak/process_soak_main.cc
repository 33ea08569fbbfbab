#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <map>

#include "soak/clock.h"
#include "soak/deployment.h"
#include "soak/fault_player.h"
#include "soak/instance.h"
#include "soak/judge.h"
#include "soak/log_excerpt.h"
#include "soak/soak_plan.h"
#include "soak/workload.h"

// Plays seeded faults against daemons that run as separate processes, and judges the users' rules
// by what clients, instances and the platform have seen.

namespace {

using namespace jasminelead::soak;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;
constexpr double calm_ms = 2500;
// The users' bound for the recovery after the last fault.
constexpr double recovery_ms = 12000;
constexpr double watch_interval_ms = 50;
// A process that ends within this time of a disruption is not counted.
constexpr double disturbed_end_ms = 1000;
constexpr std::size_t listed_violations = 3;

struct run_options {
    std::string daemon;
    std::string folder;
    soak_profile profile;
    unsigned seed = 1;
    std::size_t hosts = 6;
    double length_ms = 0;
    bool keeps_records = false;
};

void add_services(deployment& all, const run_options& options) {
    all.account_count = options.profile.accounts;
    all.account_limit_per_s = options.profile.account_limit_per_s;
    const std::vector<std::string> zones{"dc-a", "dc-b", "dc-c"};
    for (std::size_t i = 0; i < options.profile.services; ++i) {
        const std::string name = "svc" + std::to_string(i);
        const bool is_last = i + 1 == options.profile.services;
        service& group = all.add_service(name, zones, options.profile.synchronous && is_last);
        for (const auto& item : group.instances) {
            item->change([&] {
                item->work_ms = options.profile.work_ms;
                item->queue = options.profile.queue;
            });
        }
        all.routes.push_back({"pay-" + name, "primary", name, 1500, 150, 1, 0});
        all.routes.push_back({"view-" + name, "bounded_stale", name, 2500, 500, 2, 1500});
        all.routes.push_back({"award-" + name, "read_your_writes", name, 1500, 250, 2, 2500});
    }
    for (std::size_t i = 0; i < options.hosts; ++i) {
        all.add_daemon(zones[i % zones.size()]);
    }
}

/// Notes the daemons that end by themselves while it exists.
class end_watch {
public:
    end_watch(deployment& all, const disturbance_log& disturbances)
        : m_all{all}, m_disturbances{disturbances}, m_thread{[this] { run(); }} {}
    end_watch(const end_watch&) = delete;
    end_watch& operator=(const end_watch&) = delete;
    ~end_watch() { stop(); }
    std::vector<violation> stop() {
        m_running = false;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        return m_found;
    }

private:
    void run() {
        while (m_running) {
            for (daemon_process& item : m_all.daemons) {
                if (const auto how = deployment::own_end(item)) {
                    note("ended by itself: " + item.host + " " + *how);
                    const double now = now_ms();
                    if (!m_disturbances.covers(item.host, "", now - disturbed_end_ms, now)) {
                        m_found.push_back(
                            {"END", item.host + " ended by itself: " + *how, "", "", now});
                    }
                    m_all.start(item);
                }
            }
            sleep_ms(watch_interval_ms);
        }
    }

    deployment& m_all;
    const disturbance_log& m_disturbances;
    std::vector<violation> m_found;
    std::atomic<bool> m_running = true;
    std::thread m_thread;
};

std::string summary(const std::vector<violation>& found) {
    std::map<std::string, int> counts;
    for (const violation& item : found) {
        ++counts[item.rule];
    }
    std::string text = found.empty() ? "held" : "broken:";
    for (const auto& [rule, count] : counts) {
        text += " " + rule + " " + std::to_string(count);
    }
    return text;
}

void show(const run_options& options, const std::vector<violation>& found) {
    std::map<std::string, std::size_t> listed;
    for (const violation& item : found) {
        note("BROKEN " + item.rule + " " + item.text);
        if (listed[item.rule]++ < listed_violations) {
            std::cout << "  " << item.rule << " " << item.text << '\n';
        }
    }
    if (!found.empty()) {
        write_excerpts(options.folder, found);
        std::cout << "  record: " << options.folder << '\n';
    }
}

int play(const run_options& options) {
    open_record(options.folder + "/record.txt");
    note("unix ms at the start of the record: " +
         std::to_string(unix_ms() - static_cast<std::int64_t>(now_ms())));
    auto& all = *new deployment{options.folder, options.daemon, options.seed};
    add_services(all, options);
    all.put_config();
    all.start_all();
    if (!all.wait_until_served()) {
        std::cout << "seed " << options.seed
                  << ": the daemons did not serve in time; record: " << options.folder << std::endl;
        all.stop();
        return exit_not_run;
    }
    disturbance_log disturbances;
    end_watch ends{all, disturbances};
    workload clients{all, options.profile.load, options.seed};
    clients.start();
    sleep_ms(calm_ms);
    const auto plan = make_plan(options.profile, options.seed, options.length_ms);
    fault_player{all, clients, disturbances, options.profile.work_ms}.play(plan);
    note("all faults have ended");
    clients.calm_down();
    sleep_ms(recovery_ms);
    std::vector<violation> found = judge_recovery(all);
    note("the recovery is judged");
    clients.stop();
    const auto ended = ends.stop();
    all.stop();
    observation seen{all, clients.attempts(), disturbances};
    const auto broken = judge(seen);
    found.insert(found.end(), broken.begin(), broken.end());
    found.insert(found.end(), ended.begin(), ended.end());
    std::size_t promotions = 0;
    for (const auto& group : all.services) {
        promotions += group->promotions.size();
    }
    const auto done = std::count_if(
        seen.attempts.begin(), seen.attempts.end(),
        [](const attempt_record& item) { return item.outcome == attempt_outcome::done; });
    std::cout << "seed " << options.seed << " " << options.profile.name << ": " << plan.size()
              << " faults, " << done << " of " << seen.attempts.size() << " attempts done, "
              << promotions << " promotions, " << summary(found) << std::endl;
    show(options, found);
    flush_record();
    return found.empty() ? exit_held : exit_broken;
}

/// Each seed has a process of its own, because the threads of the stand-ins end with it.
int play_seed(const run_options& options) {
    std::filesystem::remove_all(options.folder);
    std::filesystem::create_directories(options.folder);
    std::cout.flush();
    const pid_t pid = ::fork();
    if (pid == 0) {
        int result = exit_not_run;
        try {
            result = play(options);
        } catch (const std::exception& error) {
            std::cout << "seed " << options.seed << ": " << error.what() << '\n';
        }
        std::cout.flush();
        std::_Exit(result);
    }
    int status = 0;
    ::waitpid(pid, &status, 0);
    const int result = WIFEXITED(status) ? WEXITSTATUS(status) : exit_not_run;
    if (result == exit_held && !options.keeps_records) {
        std::filesystem::remove_all(options.folder);
    }
    return result;
}

}  // namespace

int main(int count, char** values) {
    ::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options usage{"jasminelead-process-soak",
                           "Plays seeded faults against daemons that run as separate processes."};
    usage.add_options()("seeds", "number of seeds", cxxopts::value<unsigned>()->default_value("1"))(
        "from", "first seed", cxxopts::value<unsigned>()->default_value("1"))(
        "seconds", "length of the faults of a seed", cxxopts::value<double>()->default_value("30"))(
        "profile", "kind of faults", cxxopts::value<std::string>()->default_value("mixed"))(
        "hosts", "number of daemons, at most 200",
        cxxopts::value<std::size_t>()->default_value("6"))(
        "daemon", "program of the daemon",
        cxxopts::value<std::string>()->default_value("build/jasminelead"))(
        "records", "folder of the records of broken seeds",
        cxxopts::value<std::string>()->default_value("build/soak-records"))(
        "keep", "keep the records of all seeds")("help", "show this");
    try {
        const auto options = usage.parse(count, values);
        if (options.count("help") > 0) {
            std::cout << usage.help();
            return exit_held;
        }
        run_options run;
        run.daemon = options["daemon"].as<std::string>();
        run.hosts = std::clamp<std::size_t>(options["hosts"].as<std::size_t>(), 1, 200);
        run.keeps_records = options.count("keep") > 0;
        run.length_ms = options["seconds"].as<double>() * 1000;
        const auto name = options["profile"].as<std::string>();
        const auto& profiles = soak_profiles();
        const auto chosen = std::find_if(profiles.begin(), profiles.end(),
                                         [&](const auto& item) { return item.name == name; });
        if (chosen == profiles.end() || !std::filesystem::exists(run.daemon)) {
            std::cerr << "no such profile or daemon: " << name << ", " << run.daemon << '\n';
            return exit_not_run;
        }
        run.profile = *chosen;
        int worst = exit_held;
        const auto from = options["from"].as<unsigned>();
        for (unsigned i = 0; i < options["seeds"].as<unsigned>(); ++i) {
            run.seed = from + i;
            run.folder =
                options["records"].as<std::string>() + "/" + name + "-" + std::to_string(run.seed);
            const int result = play_seed(run);
            worst = worst == exit_broken ? worst : std::max(worst, result == 1 ? 1 : result);
            worst = result == exit_broken ? exit_broken : worst;
        }
        return worst;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return exit_not_run;
    }
}
