#pragma once

// Clients' texts with a line feed in the last field.
inline int smuggled(deployment& all) {
    service& shows = all.add_service("showbook", zones);
    add_routes(all, "showbook");
    add_daemons(all);
    if (!begin_day(all)) {
        return could_not_run;
    }
    const std::string end = with_trouble() ? "\n" : " ";
    const std::string hidden = new_id();
    std::map<std::string, std::string> sent;
    sent[new_id()] = "WRITE note bring fruit" + end + "and water";
    sent[new_id()] = "WRITE fee paid" + end + "QUERY " + hidden + " WRITE award none";
    for (const auto& [id, text] : sent) {
        client writer{all.daemons[0].front, "pay"};
        writer.query_as(id, text);
        const answer more = writer.read_answer(1000);
        if (!more.lines.empty()) {
            note("further answer, though no request is outstanding: " + more.text());
        }
    }
    bool is_broken = false;
    const std::lock_guard lock{shows.lock};
    for (const run_event& event : shows.runs) {
        const auto found = sent.find(event.id);
        if (event.id == hidden) {
            note("UNASKED: " + event.instance + " ran " + event.id + " " + shown(event.text) +
                 ", which was sent inside another request");
            is_broken = true;
        }
        if (found != sent.end() && event.text != found->second) {
            note("UNASKED: " + event.instance + " ran " + event.id + " with changed text: " +
                 shown(event.text) + " instead of " + shown(found->second));
            is_broken = true;
        }
    }
    return is_broken ? broken : held;
}
