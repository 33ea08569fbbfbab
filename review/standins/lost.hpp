#pragma once

/// How the primary goes.
enum class departure { crash, drain };

// A primary goes while one replica receives nothing and the statements of the readers occupy the
// slots of the other one, which has all acknowledged commits.
inline int lost_commits(deployment& all, departure how) {
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
    // About 310 reads a second, the rate of the users' small deployments for `read_your_writes`.
    for (std::size_t i = 0; i < 24; ++i) {
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
        record->write(deaf.id() + " receives nothing");
        sleep_ms(3000);
        if (how == departure::crash) {
            primary.crash();
        } else {
            primary.change([&] { primary.is_draining = true; });
            record->write(primary.id() + " is draining");
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
    record->write("acknowledged commits: " + std::to_string(acknowledged.size()) +
                  ", promoted: " + (promoted.empty() ? "none" : promoted) +
                  ", the complete replica is " + healthy.id());
    for (const std::string& id : missing) {
        record->write("LOST: the acknowledged commit " + id + " is not in the log of " + promoted);
    }
    if (with_trouble() && promoted.empty()) {
        return could_not_run;
    }
    return missing.empty() ? held : broken;
}

inline int lost_sync(deployment& all) {
    return lost_commits(all, departure::crash);
}

inline int lost_planned(deployment& all) {
    return lost_commits(all, departure::drain);
}
