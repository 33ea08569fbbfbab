#pragma once

// A client's text with a line feed in its last field.
inline int smuggled(deployment& all) {
    service& shows = all.add_service("showbook", zones);
    add_routes(all, "showbook");
    add_daemons(all);
    if (!begin_day(all)) {
        return could_not_run;
    }
    client writer{all.daemons[0].front, "pay"};
    const std::string id = new_id();
    const std::string hidden = new_id();
    const std::string text =
        "WRITE fee paid" + (with_trouble() ? "\nQUERY " + hidden + " WRITE award none" : " twice");
    const answer first = writer.query_as(id, text);
    record->write("first answer: " + first.text());
    const answer more = writer.read_answer(1500);
    if (!more.lines.empty()) {
        record->write("further answer, though no request is outstanding: " + more.text());
    }
    bool is_broken = false;
    const std::lock_guard lock{shows.lock};
    for (const run_event& event : shows.runs) {
        if (event.id == hidden) {
            record->write("UNASKED: " + event.instance + " ran " + event.id + " " +
                          shown(event.text) + ", which was sent inside " + id);
            is_broken = true;
        }
        if (event.id == id && event.text != text) {
            record->write("UNASKED: " + event.instance + " ran " + id +
                          " with changed text: " + shown(event.text));
            is_broken = true;
        }
    }
    return is_broken ? broken : held;
}
