#include <sys/socket.h>
#include <unistd.h>

#include <sstream>

#include "soak/clock.h"
#include "soak/instance.h"

namespace jasminelead::soak {
namespace {

// How long a commit waits between two looks at the replicas.
constexpr double receipt_poll_ms = 20;

std::string take_word(std::string& text) {
    const std::size_t end = std::min(text.find(' '), text.size());
    std::string word = text.substr(0, end);
    text.erase(0, std::min(end + 1, text.size()));
    return word;
}

}  // namespace

void instance::serve(int fd, const std::string& host) {
    session open;
    open.host = host;
    {
        const std::lock_guard lock{m_service.lock};
        open.life = m_life;
        if (m_crashed || m_connections.size() >= max_connections) {
            if (!m_crashed) {
                note("maxconn " + m_id + " from " + open.host);
                send_all(fd, "ERROR MAXCONN " + m_id + "\r\n");
            }
            ::close(fd);
            return;
        }
        m_connections.insert(fd);
    }
    stream_reader reader{fd};
    bool started = false;
    while (const auto line = reader.until("\r\n", forever)) {
        if (is_over(open)) {
            break;
        }
        if (is_cut_from(open.host)) {
            continue;
        }
        const auto text = answer(open, *line, started);
        if (is_cut_from(open.host)) {
            continue;
        }
        if (is_over(open) || !text || !send_all(fd, *text) || !started) {
            break;
        }
    }
    const std::lock_guard lock{m_service.lock};
    m_connections.erase(fd);
    ::close(fd);
}

bool instance::is_cut_from(const std::string& host) {
    const std::lock_guard lock{m_service.lock};
    return cut_from.contains(host);
}

bool instance::is_answer_lost() {
    const std::lock_guard lock{m_service.lock};
    return std::uniform_real_distribution<>{0, 1}(m_random) < lost_share;
}

/// The answer to one line; empty when the connection ends, also when the answer is lost.
std::optional<std::string> instance::answer(session& open, const std::string& line, bool& started) {
    if (!started) {
        return start(open, line, started);
    }
    auto text = handle(open, line);
    if (text && is_answer_lost()) {
        note("answer lost " + m_id + " " + shown(line));
        return std::nullopt;
    }
    return text;
}

std::optional<std::string> instance::start(session& open, const std::string& line, bool& started) {
    std::istringstream words{line};
    std::string verb;
    std::string name;
    std::string who;
    std::string expected;
    words >> verb >> name >> who >> expected;
    open.account = who;
    const bool ok =
        verb == "STARTUP" && name == m_service.name && (expected.empty() || expected == m_id);
    if (!ok) {
        return "ERROR WRONGNODE " + m_id + "\r\n";
    }
    lock_type lock{m_service.lock};
    // A new connection occupies a slot.
    m_free_slot.wait(lock, [this] { return m_busy < slots || m_crashed; });
    ++m_busy;
    lock.unlock();
    sleep_ms(handshake_ms);
    lock.lock();
    --m_busy;
    m_free_slot.notify_all();
    started = true;
    return "READY I " + point().text() + "\r\n";
}

std::string instance::ready(const session& open) const {
    return std::string{"READY "} + open.state + " " + point().text() + "\r\n";
}

std::string instance::signature() {
    return m_id + "." + std::to_string(++m_signatures);
}

std::string instance::done(const session& open, const std::string& rows) {
    return rows + "DONE " + signature() + "\r\n" + ready(open);
}

std::string instance::error(session& open, const std::string& code) const {
    open.state = open.state == 'T' ? 'E' : open.state;
    return "ERROR " + code + " " + m_id + "\r\n" + ready(open);
}

std::optional<std::string> instance::handle(session& open, const std::string& line) {
    const std::size_t first = line.find(' ');
    const std::size_t second = first == std::string::npos ? first : line.find(' ', first + 1);
    if (line.substr(0, first) == "TERMINATE") {
        return std::nullopt;
    }
    if (line.substr(0, first) != "QUERY" || second == std::string::npos) {
        const std::lock_guard lock{m_service.lock};
        return "ERROR MALFORMED " + m_id + "\r\n" + ready(open);
    }
    const std::string id = line.substr(first + 1, second - first - 1);
    return query(open, id, line.substr(second + 1));
}

std::string instance::query(session& open, const std::string& id, const std::string& text) {
    statement item;
    item.arrived = now_ms();
    item.id = id;
    item.rest = text;
    item.text = text;
    item.verb = take_word(item.rest);
    if (item.verb == "AFTER") {
        const std::string at = take_word(item.rest);
        item.after = log_point{std::stoull(at), std::stoull(at.substr(at.find('.') + 1))};
        item.text = item.rest;
        item.verb = take_word(item.rest);
    }
    if (item.verb == "EXECUTE") {
        const auto found = open.prepared.find(take_word(item.rest));
        if (found == open.prepared.end()) {
            const std::lock_guard lock{m_service.lock};
            return error(open, "NOSTMT");
        }
        item.verb = found->second.first;
        item.text = "EXECUTE " + item.verb + " " + found->second.second + " " + item.rest;
    }
    if (open.state == 'E' && item.verb != "COMMIT" && item.verb != "ROLLBACK") {
        const std::lock_guard lock{m_service.lock};
        return error(open, "MALFORMED");
    }
    if (item.verb == "READ" || item.verb == "WRITE" || item.verb == "COMMIT" ||
        item.verb == "STATUS") {
        return in_slot(open, item);
    }
    const std::lock_guard lock{m_service.lock};
    return control(open, item);
}

std::string instance::control(session& open, const statement& item) {
    std::string rest = item.rest;
    if (item.verb == "SET") {
        const std::string name = take_word(rest);
        open.values[name] = rest;
    } else if (item.verb == "PREPARE") {
        const std::string name = take_word(rest);
        const std::string kind = take_word(rest);
        open.prepared[name] = {kind, rest};
    } else if (item.verb == "DEALLOC") {
        open.prepared.erase(rest);
    } else if (item.verb == "RESET") {
        open.values.clear();
        open.prepared.clear();
    } else if (item.verb == "BEGIN") {
        if (item.after && !has(*item.after)) {
            return error(open, "LAGGING");
        }
        open.read_only = rest == "READ";
        if (!open.read_only && !is_primary) {
            return error(open, "READONLY");
        }
        open.state = 'T';
        open.term = m_term;
        open.writes.clear();
        open.write_ids.clear();
    } else if (item.verb == "ROLLBACK") {
        open.state = 'I';
        open.writes.clear();
    } else {
        return command(open, item);
    }
    return done(open);
}

std::string instance::command(session& open, const statement& item) {
    if (item.verb == "STEPDOWN") {
        if (is_primary && std::stoull(item.rest) > m_term) {
            note("stepdown " + m_id + " term " + item.rest + " from " + open.host);
            set_role(false);
        }
    } else if (item.verb == "PAUSE") {
        m_is_paused = !is_primary && std::stoull(item.rest) > m_service.newest_term;
    } else if (item.verb == "RESUME") {
        m_is_paused = false;
    } else {
        return error(open, "MALFORMED");
    }
    return done(open, status_row());
}

std::string instance::status_row() const {
    return std::string{"ROW "} + (is_primary ? "primary " : "replica ") + std::to_string(m_term) +
           " " + last_point().text() + " 0 " +
           std::to_string(static_cast<int>(is_primary ? 0 : lag_ms)) + " " +
           std::to_string(m_busy) + " " + std::to_string(m_connections.size()) + "\r\n";
}

std::string instance::in_slot(session& open, const statement& item) {
    lock_type lock{m_service.lock};
    if (m_busy >= slots) {
        if (m_waiting >= queue) {
            note("busy " + m_id + " " + item.id + " " + shown(item.text));
            return error(open, "BUSY");
        }
        ++m_waiting;
        m_free_slot.wait(lock, [&] { return m_busy < slots || is_over(open); });
        --m_waiting;
    }
    if (is_over(open)) {
        return "";
    }
    ++m_busy;
    std::string answer;
    if (item.verb == "STATUS") {
        answer = done(open, status_row());
        note("status " + m_id + (is_primary ? " primary" : " replica") + " term " +
             std::to_string(m_term) + " log end " + last_point().text() + " to " + open.host);
    } else if (item.after && !has(*item.after)) {
        answer = error(open, "LAGGING");
    } else {
        answer = run(lock, open, item);
    }
    --m_busy;
    m_free_slot.notify_all();
    return answer;
}

std::string instance::read_item(const std::string& name) const {
    std::string value = "none";
    for (std::size_t i = applied(); i > 0; --i) {
        for (const auto& [item, data] : m_log[i - 1].writes) {
            value = item == name ? data : value;
        }
        if (value != "none") {
            break;
        }
    }
    return "ROW " + value + "\r\n";
}

std::string instance::run(lock_type& lock, session& open, const statement& item) {
    const bool lost_lead =
        open.state == 'T' && !open.read_only && (!is_primary || open.term != m_term);
    const bool ends_empty = item.verb == "COMMIT" && open.writes.empty();
    if ((item.verb == "WRITE" && !is_primary) || (lost_lead && !ends_empty)) {
        if (item.verb == "COMMIT") {
            open.state = 'I';
            open.writes.clear();
        }
        return error(open, "READONLY");
    }
    if (item.verb == "COMMIT" && open.state != 'T') {
        const bool failed = open.state == 'E';
        open.state = 'I';
        open.writes.clear();
        return error(open, failed ? "ABORTED" : "MALFORMED");
    }
    // The statement sees the log as it is at its start.
    const std::string rows = item.verb == "READ" ? read_item(item.rest) : "";
    note("run " + m_id + " " + item.id + " " + shown(item.text) + " log " + point().text());
    const std::size_t index = m_service.runs.size();
    m_service.runs.push_back(
        {now_ms(), m_id, open.host, item.id, item.text, point(), "", rows, open.account});
    lock.unlock();
    sleep_ms(work_ms);
    lock.lock();
    if (is_over(open)) {
        return "";
    }
    std::string answer;
    if (item.verb == "WRITE") {
        std::string data = item.rest;
        const std::string name = take_word(data);
        if (open.state != 'T') {
            open.writes.clear();
            open.write_ids.clear();
        }
        open.writes.emplace_back(name, data);
        open.write_ids.push_back(item.id);
    }
    if (item.verb == "READ" || (item.verb == "WRITE" && open.state == 'T')) {
        answer = done(open, rows);
    } else {
        answer = finish(lock, open, item);
    }
    const std::size_t signed_at = answer.find("DONE ");
    if (signed_at != std::string::npos) {
        m_service.runs[index].signature =
            answer.substr(signed_at + 5, answer.find("\r\n", signed_at) - signed_at - 5);
    }
    return answer;
}

/// Commits the writes of a single statement or a transaction.
std::string instance::finish(lock_type& lock, session& open, const statement& item) {
    open.state = 'I';
    std::vector<std::string> write_ids = std::move(open.write_ids);
    open.write_ids.clear();
    if (open.writes.empty()) {
        return done(open);
    }
    if (!is_primary) {
        open.writes.clear();
        return error(open, "READONLY");
    }
    const commit added{{m_term, last_point().number + 1}, item.id, std::move(open.writes)};
    open.writes.clear();
    m_service.add_to_history(added, last_point());
    append(added, 0);
    note("commit " + m_id + " " + item.id + " " + added.point.text() + " for " + open.host);
    m_service.commits.push_back({now_ms(), item.arrived, m_id, port(), open.host, item.id,
                                 std::move(write_ids), added.point, m_service.newest_term});
    lock.unlock();
    sleep_ms(m_service.network_ms);
    lock.lock();
    for (const auto& other : m_service.instances) {
        if (other.get() != this && !other->is_primary && other->m_term <= m_term &&
            reaches(*other)) {
            other->follow(*this);
        }
    }
    while (m_service.synchronous && !is_over(open) && !is_received(added.point)) {
        m_service.received.wait_for(lock,
                                    std::chrono::duration<double, std::milli>(receipt_poll_ms));
    }
    return is_over(open) ? "" : done(open);
}

bool instance::is_received(const log_point& point) const {
    for (const auto& other : m_service.instances) {
        if (other.get() != this && !other->m_crashed && point.number <= other->m_log.size() &&
            other->m_log[point.number - 1].point == point) {
            return true;
        }
    }
    return false;
}

}  // namespace jasminelead::soak
