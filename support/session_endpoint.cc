#include "session_endpoint.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "line_socket.h"

namespace jasminelead::support {
namespace {

using tcp = boost::asio::ip::tcp;

/// Removes and returns the text up to the next blank. Other control bytes are part of a word.
std::string take_word(std::string_view& text) {
    const std::size_t blank = std::min(text.find(' '), text.size());
    std::string word{text.substr(0, blank)};
    text.remove_prefix(std::min(blank + 1, text.size()));
    return word;
}

}  // namespace

session_endpoint::session_endpoint(std::shared_ptr<session_group_state> group,
                                   std::string group_name, std::string id)
    : m_group{std::move(group)},
      m_group_name{std::move(group_name)},
      m_id{std::move(id)},
      m_acceptor{m_io, {boost::asio::ip::address_v4::loopback(), 0}},
      m_thread{[this] { accept_loop(); }} {}

session_endpoint::~session_endpoint() {
    crash();
    m_thread.join();
    for (connection& item : m_connections) {
        item.thread.join();
    }
}

std::string session_endpoint::address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void session_endpoint::drop_next_response(std::string verb) {
    const std::lock_guard lock{m_fault_lock};
    m_dropped_response_verb = std::move(verb);
}

void session_endpoint::refuse_next(std::string verb, std::string code) {
    const std::lock_guard lock{m_fault_lock};
    m_refused_verb = std::move(verb);
    m_refused_code = std::move(code);
}

void session_endpoint::delay_next(std::string verb, std::chrono::milliseconds delay) {
    const std::lock_guard lock{m_fault_lock};
    m_delayed_verb = std::move(verb);
    m_delay = delay;
}

void session_endpoint::delay_all(std::string verb, std::chrono::milliseconds delay) {
    const std::lock_guard lock{m_fault_lock};
    m_slow_verb = std::move(verb);
    m_slow_delay = delay;
}

std::chrono::milliseconds session_endpoint::take_delay(const std::string& verb) {
    const std::lock_guard lock{m_fault_lock};
    if (verb == m_slow_verb) {
        return m_slow_delay;
    }
    if (verb != m_delayed_verb) {
        return {};
    }
    m_delayed_verb.clear();
    return m_delay;
}

void session_endpoint::crash() {
    const std::lock_guard lock{m_fault_lock};
    m_crashed = true;
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    for (connection& item : m_connections) {
        ::shutdown(item.socket.native_handle(), SHUT_RDWR);
    }
}

void session_endpoint::reopen_with_limit(int limit) {
    const std::lock_guard lock{m_fault_lock};
    m_connection_limit = limit;
    for (connection& item : m_connections) {
        ::shutdown(item.socket.native_handle(), SHUT_RDWR);
    }
}

void session_endpoint::accept_loop() {
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket = m_acceptor.accept(error);
        const std::lock_guard lock{m_fault_lock};
        if (error || m_crashed) {
            boost::system::error_code ignored;
            m_acceptor.close(ignored);
            return;
        }
        ++m_accepted;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay{true}, ignored);
        if (m_open_connections >= m_connection_limit) {
            boost::asio::write(socket, boost::asio::buffer("ERROR MAXCONN full\r\n", 20), error);
            continue;
        }
        ++m_open_connections;
        connection& added = m_connections.emplace_back(std::move(socket));
        added.thread = std::thread{[this, &added] {
            serve(added.socket);
            --m_open_connections;
        }};
    }
}

void session_endpoint::serve(tcp::socket& socket) {
    boost::asio::streambuf buffer;
    session client_session;
    while (const auto line = read_line(socket, buffer)) {
        const std::string reply = handle_line(client_session, *line);
        if (reply.empty()) {
            ::shutdown(socket.native_handle(), SHUT_RDWR);
            return;
        }
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(reply), error);
    }
}

std::string session_endpoint::point() const {
    return std::to_string(m_group->term) + "." + std::to_string(m_group->position);
}

std::string session_endpoint::status_row() const {
    const bool is_promoted = m_group->primary == m_id;
    const std::uint64_t term = is_promoted || !leads() ? m_group->term : m_former_term.load();
    return std::string{"ROW "} + (leads() ? "primary " : "replica ") + std::to_string(term) + " " +
           point() + " 0 0 0 1\r\n";
}

std::string session_endpoint::success_response(const session& client_session,
                                               const std::string& rows) const {
    return rows + "DONE signed-by-" + m_id + "\r\nREADY " + client_session.state + " " + point() +
           "\r\n";
}

std::string session_endpoint::error_response(session& client_session,
                                             const std::string& code) const {
    return "ERROR " + code + " " + m_id + "\r\nREADY " + client_session.state + " " + point() +
           "\r\n";
}

std::string session_endpoint::handle_line(session& client_session, std::string_view line) {
    const std::string verb = take_word(line);
    if (verb == "STARTUP") {
        const std::string group = take_word(line);
        client_session.name = take_word(line);
        const std::string id = take_word(line);
        const std::lock_guard lock{m_group->lock};
        m_group->startups.push_back(m_id + " " + client_session.name);
        const bool expected = group == m_group_name && (id.empty() || id == m_id);
        return expected ? "READY I " + point() + "\r\n" : "ERROR WRONGNODE " + m_id + "\r\n";
    }
    const std::string id = take_word(line);
    return verb == "QUERY" ? run_query(client_session, id, line) : std::string{};
}

std::string session_endpoint::run_query(session& client_session, const std::string& id,
                                        std::string_view text) {
    std::string_view words = text;
    std::string verb = take_word(words);
    if (verb == "AFTER") {
        take_word(words);  // The required position.
        verb = take_word(words);
    }
    {
        const std::lock_guard lock{m_fault_lock};
        if (verb == m_refused_verb) {
            m_refused_verb.clear();
            return error_response(client_session, m_refused_code);
        }
    }
    if (verb == "STATUS" && m_is_busy) {
        return error_response(client_session, "BUSY");
    }
    const auto delay = take_delay(verb);
    const int counted = delay > std::chrono::milliseconds{0} ? 1 : 0;
    m_delayed += counted;
    std::this_thread::sleep_for(delay);
    m_delayed -= counted;
    const std::lock_guard lock{m_group->lock};
    m_group->log.push_back(m_id + " " + id + " " + std::string{text});
    m_group->runs.push_back(client_session.name + " " + std::string{text});
    const std::string name = take_word(words);
    const std::string rest{words};
    std::string reply;
    if (verb == "RESET") {
        client_session.values.clear();
        client_session.prepared.clear();
        reply = success_response(client_session, "");
    } else if (verb == "SET") {
        client_session.values[name] = rest;
        reply = success_response(client_session, "");
    } else if (verb == "PREPARE") {
        client_session.prepared[name] = rest.substr(0, rest.find(' '));
        reply = success_response(client_session, "");
    } else if (verb == "STATUS") {
        reply = success_response(client_session, status_row());
    } else if (verb == "STEPDOWN") {
        step_down();
        reply = success_response(client_session, "ROW replica 1 " + point() + " 0 0 0 1\r\n");
    } else if (verb == "BEGIN") {
        const bool allowed = name == "READ" || leads();
        client_session.state = allowed ? 'T' : 'I';
        reply = allowed ? success_response(client_session, "")
                        : error_response(client_session, "READONLY");
    } else if (verb == "ROLLBACK") {
        client_session.written.clear();
        client_session.state = 'I';
        reply = success_response(client_session, "");
    } else if (verb == "COMMIT") {
        reply = commit(client_session);
    } else if (verb == "EXECUTE") {
        const auto prepared = client_session.prepared.find(name);
        const std::size_t separator = rest.find(' ');
        const std::string data = separator == std::string::npos ? "" : rest.substr(separator + 1);
        reply = prepared == client_session.prepared.end()
                    ? error_response(client_session, "NOSTMT")
                    : run_item(client_session, prepared->second, rest.substr(0, separator), data);
    } else {
        reply = run_item(client_session, verb, name, rest);
    }
    const std::lock_guard fault_lock{m_fault_lock};
    if (verb == m_dropped_response_verb) {
        m_dropped_response_verb.clear();
        return {};
    }
    return reply;
}

std::string session_endpoint::run_item(session& client_session, const std::string& verb,
                                       const std::string& item, const std::string& data) {
    if (verb == "READ") {
        const auto own = client_session.written.find(item);
        const auto found = m_group->items.find(item);
        std::string value = found == m_group->items.end() ? "none" : found->second;
        value = own == client_session.written.end() ? value : own->second;
        return success_response(client_session, "ROW " + value + "\r\n");
    }
    if (!leads()) {
        return error_response(client_session, "READONLY");
    }
    client_session.written[item] = data;
    return client_session.state == 'T' ? success_response(client_session, "")
                                       : commit(client_session);
}

std::string session_endpoint::commit(session& client_session) {
    for (const auto& [item, data] : client_session.written) {
        m_group->items[item] = data;
    }
    if (!client_session.written.empty()) {
        ++m_group->position;
        m_group->unpromoted_commits += m_group->primary == m_id ? 0 : 1;
    }
    client_session.written.clear();
    client_session.state = 'I';
    return success_response(client_session, "");
}

}  // namespace jasminelead::support
