#pragma once

// A route moves to another service and back while the session goes on.
inline int route_back(deployment& all) {
    service& first = all.add_service("showbook", zones);
    all.add_service("archive", zones);
    add_routes(all, "showbook");
    add_daemons(all);
    if (!begin_day(all)) {
        return could_not_run;
    }
    const auto move_to = [&](const std::string& name) {
        for (route& item : all.routes) {
            item.service = name;
        }
        all.put_config();
    };
    client judge{all.daemons[2].front, "award"};
    if (!write_until_done(judge, "seed", "first", 3000)) {
        return could_not_run;
    }
    {
        const std::lock_guard lock{first.lock};
        for (const auto& item : first.instances) {
            item->lag_ms = with_trouble() ? 3000 : 60;
        }
    }
    sleep_ms(1000);
    const auto own = write_until_done(judge, "placing", "third", 3000);
    move_to("archive");
    sleep_ms(330);
    const auto other = write_until_done(judge, "placing", "second", 1000);
    move_to("showbook");
    sleep_ms(330);
    if (!own || !other) {
        return could_not_run;
    }
    std::set<std::string> sent;
    for (int i = 0; i < 8; ++i) {
        const std::string id = new_id();
        sent.insert(id);
        judge.query_as(id, "READ placing");
        sleep_ms(60);
    }
    bool is_broken = false;
    const std::lock_guard lock{first.lock};
    for (const run_event& event : first.runs) {
        if (sent.contains(event.id) && !first.log_has(event.log_end, own->id)) {
            note("STALE: read " + event.id + " ran on " + event.instance +
                 " without the session's own commit " + own->id);
            is_broken = true;
        }
    }
    return is_broken ? broken : held;
}
