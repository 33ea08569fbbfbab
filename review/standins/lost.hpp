#pragma once

/// How the primary goes, and what keeps the complete replica from being chosen.
enum class departure {
    crash_under_load,
    drain_under_load,
    crash_beside_draining_replica,
    drain_in_turn,  ///< After the complete replica, as when a service's instances are replaced.
};

// A primary goes while one replica receives nothing. The other one has all acknowledged commits;
// the statements of the readers occupy its slots, or it is draining.
inline int lost_commits(deployment& all, departure how) {
    const bool is_loaded = how == departure::crash_under_load || how == departure::drain_under_load;
    // About 130 reads a second, the users' rate for one of their three services, and 1.7 times
    // that.
    const std::size_t usual_readers = is_loaded ? 10 : 0;
    const std::size_t burst_readers = is_loaded ? 7 : 0;
    service& shows = all.add_service("showbook", zones, true);
    add_routes(all, "showbook");
    add_daemons(all);
    instance& primary = *shows.instances[0];
    instance& healthy = *shows.instances[1];
    instance& deaf = *shows.instances[2];
    for (const auto& item : shows.instances) {
        item->work_ms = 18;
    }
    std::mutex lock;
    std::map<std::string, double> acknowledged;
    std::vector<std::string> missing;
    std::string promoted;
    shows.on_promoted = [&](instance& successor) {
        const std::lock_guard guard{lock};
        promoted = successor.id();
        std::set<std::string> log;
        for (const commit& item : successor.log()) {
            log.insert(item.id);
        }
        for (const auto& [id, at] : acknowledged) {
            if (!log.contains(id)) {
                missing.push_back(id);
            }
        }
    };
    if (!begin_day(all)) {
        return could_not_run;
    }
    std::atomic<bool> running = true;
    std::list<std::thread> clients;
    std::size_t started_readers = 0;
    const auto add_readers = [&](std::size_t count) {
        for (std::size_t k = 0; k < count; ++k) {
            const std::size_t i = started_readers++;
            clients.emplace_back([&, i] {
                const std::uint16_t port = all.daemons[i % all.daemons.size()].front;
                auto session = std::make_unique<client>(port, i % 3 == 0 ? "view" : "award");
                while (running) {
                    if (!session->query("READ schedule", 3000).complete) {
                        session = std::make_unique<client>(port, i % 3 == 0 ? "view" : "award");
                    }
                    sleep_ms(55);
                }
            });
        }
    };
    add_readers(usual_readers);
    for (std::size_t i = 0; i < 6; ++i) {
        clients.emplace_back([&, i] {
            const std::uint16_t port = all.daemons[i].front;
            auto session = std::make_unique<client>(port, "pay");
            for (int number = 0; running; ++number) {
                const std::string id = new_id();
                const answer result = session->query_as(
                    id, "WRITE entry-" + std::to_string(i) + " " + std::to_string(number), 3000);
                if (result.ok()) {
                    const std::lock_guard guard{lock};
                    acknowledged[id] = result.received;
                } else if (!result.complete) {
                    session = std::make_unique<client>(port, "pay");
                }
                sleep_ms(120);
            }
        });
    }
    sleep_ms(2000);
    if (with_trouble()) {
        deaf.change([&] { deaf.is_deaf = true; });
        note(deaf.id() + " receives nothing");
        sleep_ms(2500);
        if (is_loaded) {
            add_readers(burst_readers);
            note("the readers' rate is 1.7 times as high");
        }
        sleep_ms(500);
        if (!is_loaded) {
            healthy.change([&] { healthy.is_draining = true; });
            note(healthy.id() + " is draining");
            sleep_ms(1000);
        }
        if (how == departure::drain_under_load || how == departure::drain_in_turn) {
            primary.change([&] { primary.is_draining = true; });
            note(primary.id() + " is draining");
        } else {
            primary.crash();
        }
    }
    const double deadline = now_ms() + 8000;
    while (now_ms() < deadline) {
        sleep_ms(50);
        const std::lock_guard guard{lock};
        if (!promoted.empty()) {
            break;
        }
    }
    sleep_ms(500);
    running = false;
    for (std::thread& item : clients) {
        item.join();
    }
    const std::lock_guard guard{lock};
    note("acknowledged commits: " + std::to_string(acknowledged.size()) + ", promoted: " +
         (promoted.empty() ? "none" : promoted) + ", the complete replica is " + healthy.id());
    for (const std::string& id : missing) {
        note("LOST: the acknowledged commit " + id + " is not in the log of " + promoted);
    }
    if (with_trouble() && promoted.empty()) {
        return could_not_run;
    }
    return missing.empty() ? held : broken;
}

inline int lost_under_load(deployment& all) {
    return lost_commits(all, departure::crash_under_load);
}

inline int lost_in_turn(deployment& all) {
    return lost_commits(all, departure::drain_in_turn);
}

inline int lost_planned_under_load(deployment& all) {
    return lost_commits(all, departure::drain_under_load);
}

inline int lost_beside_draining(deployment& all) {
    return lost_commits(all, departure::crash_beside_draining_replica);
}
