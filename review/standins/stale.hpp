#pragma once

// A bounded-stale read after a primary was cut off and replaced, on a daemon that still reaches the
// old primary and whose only work at that service was a transaction that wrote nothing.
inline int stale_after_replacement(deployment& all) {
    service& shows = all.add_service("showbook", zones);
    add_routes(all, "showbook");
    add_daemons(all);
    daemon_process& near = all.daemons[0];  // In the zone of the primary.
    daemon_process& other = all.daemons[1];
    for (const auto& item : shows.instances) {
        item->work_ms = 30;
    }
    if (!begin_day(all, 10000)) {
        return could_not_run;
    }
    client writer{other.front, "pay"};
    client transaction{near.front, "pay"};
    client viewer{near.front, "view"};
    if (!write_until_done(writer, "schedule", "old", 3000)) {
        return could_not_run;
    }
    sleep_ms(1000);
    if (!transaction.query("BEGIN READ").ok() || !transaction.query("READ schedule").ok()) {
        return could_not_run;
    }
    instance& old_primary = *shows.instances[0];
    if (with_trouble()) {
        // Four of six daemons, none of them in the primary's zone.
        const std::lock_guard lock{shows.lock};
        old_primary.is_cut_off = true;
        for (const daemon_process& item : all.daemons) {
            if (item.zone != near.zone) {
                old_primary.cut_from.insert(item.host);
            }
        }
        note("the primary is cut off from its replicas and from four of six daemons");
    }
    const double cut_at = now_ms();
    // Callers of the four daemons read at the primary, so that these notice the cut.
    std::atomic<bool> callers_read = true;
    std::list<std::thread> callers;
    for (const daemon_process& item : all.daemons) {
        if (item.zone != near.zone) {
            callers.emplace_back([&callers_read, port = item.front] {
                auto session = std::make_unique<client>(port, "pay");
                while (callers_read) {
                    if (!session->query("READ schedule", 2000).complete) {
                        session = std::make_unique<client>(port, "pay");
                    }
                    sleep_ms(100);
                }
            });
        }
    }
    std::atomic<bool> keep_reading = true;
    std::thread reading{[&] {
        for (int i = 0; keep_reading && i < 9; ++i) {
            sleep_ms(400);
            if (keep_reading) {
                transaction.query("READ schedule");
            }
        }
    }};
    const auto is_replaced = [&] {
        const std::lock_guard lock{shows.lock};
        return !with_trouble() || shows.newest_term > 3;
    };
    while (!is_replaced() && now_ms() < cut_at + 3500) {
        sleep_ms(20);
    }
    const auto change = write_until_done(writer, "schedule", "new", 2000);
    sleep_ms(400);
    keep_reading = false;
    reading.join();
    const answer ended = transaction.query("COMMIT");
    if (!change || !is_replaced()) {
        callers_read = false;
        for (std::thread& item : callers) {
            item.join();
        }
        return could_not_run;
    }
    note("the transaction ended: " + ended.text());
    // The limit of the route and a margin for the clocks of this script.
    sleep_ms(change->acknowledged + 1520 - now_ms());
    std::map<std::string, double> sent;
    for (int i = 0; i < 8; ++i) {
        const std::string id = new_id();
        sent[id] = now_ms();
        viewer.query_as(id, "READ schedule");
        sleep_ms(30);
    }
    callers_read = false;
    note("the cut has lasted " + std::to_string(now_ms() - cut_at) + " ms");
    for (std::thread& item : callers) {
        item.join();
    }
    int stale = 0;
    const std::lock_guard lock{shows.lock};
    for (const run_event& event : shows.runs) {
        const auto found = sent.find(event.id);
        const bool is_read = found != sent.end();
        if (is_read && !shows.log_has(event.log_end, change->id)) {
            ++stale;
            note("STALE: read " + event.id + " ran on " + event.instance + " without " +
                 change->id + ", acknowledged " +
                 std::to_string(found->second - change->acknowledged) +
                 " ms before the read was sent");
        }
    }
    return stale > 0 ? broken : held;
}
