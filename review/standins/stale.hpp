#pragma once

// A bounded-stale read after a planned replacement of the primary, on a daemon whose only work at
// that service was a transaction that wrote nothing.
inline int stale_after_replacement(deployment& all) {
    service& shows = all.add_service("showbook", zones);
    add_routes(all, "showbook");
    add_daemons(all);
    daemon_process& far = all.daemons[2];
    daemon_process& near = all.daemons[0];
    for (const auto& item : shows.instances) {
        item->work_ms = 30;
    }
    if (!begin_day(all)) {
        return could_not_run;
    }
    client writer{near.front, "pay"};
    client transaction{far.front, "pay"};
    client viewer{far.front, "view"};
    if (!write_until_done(writer, "schedule", "old", 3000)) {
        return could_not_run;
    }
    sleep_ms(1000);
    // Some visitors read at the same time, so that the daemon uses its replicas too.
    std::list<std::thread> visitors;
    for (int i = 0; i < 6; ++i) {
        visitors.emplace_back([&far] {
            client visitor{far.front, "view"};
            for (int k = 0; k < 10; ++k) {
                visitor.query("READ schedule");
            }
        });
    }
    for (std::thread& item : visitors) {
        item.join();
    }
    if (!transaction.query("BEGIN READ").ok() || !transaction.query("READ schedule").ok()) {
        return could_not_run;
    }
    instance& old_primary = *shows.instances[0];
    if (with_trouble()) {
        const std::lock_guard lock{shows.lock};
        for (const auto& item : shows.instances) {
            item->lag_ms = 3000;  // 60 ms x 50
        }
        record->write("replicas apply 50 times as late");
    }
    if (with_trouble()) {
        old_primary.change([&] { old_primary.is_draining = true; });
        record->write("the primary is draining");
    }
    std::atomic<bool> keep_reading = true;
    std::thread reading{[&] {
        for (int i = 0; keep_reading && i < 9; ++i) {
            sleep_ms(500);
            if (keep_reading) {
                transaction.query("READ schedule");
            }
        }
    }};
    const double replaced_by = now_ms() + 5000;
    const auto is_replaced = [&] {
        const std::lock_guard lock{shows.lock};
        return !with_trouble() || shows.newest_term > 3;
    };
    while (!is_replaced() && now_ms() < replaced_by) {
        sleep_ms(20);
    }
    sleep_ms(100);
    const auto change = write_until_done(writer, "schedule", "new", 5000);
    sleep_ms(600);
    keep_reading = false;
    reading.join();
    const answer ended = transaction.query("COMMIT");
    if (!change || !is_replaced()) {
        return could_not_run;
    }
    record->write("the transaction ended: " + ended.text());
    // The limit of the route and a margin for the clocks of this script.
    sleep_ms(change->acknowledged + 1550 - now_ms());
    std::map<std::string, double> sent;
    for (int i = 0; i < 8; ++i) {
        const std::string id = new_id();
        sent[id] = now_ms();
        viewer.query_as(id, "READ schedule");
        sleep_ms(80);
    }
    int stale = 0;
    const std::lock_guard lock{shows.lock};
    for (const run_event& event : shows.runs) {
        const auto found = sent.find(event.id);
        const bool is_read = found != sent.end();
        if (is_read &&
            std::find(event.log.begin(), event.log.end(), change->id) == event.log.end()) {
            ++stale;
            record->write("STALE: read " + event.id + " ran on " + event.instance + " without " +
                          change->id + ", acknowledged " +
                          std::to_string(found->second - change->acknowledged) +
                          " ms before the read was sent");
        }
    }
    return stale > 0 ? broken : held;
}
