#include "session_endpoint.h"

#include <sys/socket.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <istream>
#include <sstream>
#include <utility>

namespace jasminelead::support {

using tcp = boost::asio::ip::tcp;

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
    m_limit = limit;
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
        if (m_open >= m_limit) {
            boost::asio::write(socket, boost::asio::buffer("ERROR MAXCONN full\r\n", 20), error);
            continue;
        }
        ++m_open;
        connection& added = m_connections.emplace_back(std::move(socket));
        added.thread = std::thread{[this, &added] {
            serve(added.socket);
            --m_open;
        }};
    }
}

void session_endpoint::serve(tcp::socket& socket) {
    boost::asio::streambuf buffer;
    session open;
    for (;;) {
        boost::system::error_code error;
        boost::asio::read_until(socket, buffer, "\r\n", error);
        if (error) {
            return;
        }
        std::istream stream{&buffer};
        std::string line;
        std::getline(stream, line);
        line.pop_back();
        const std::string reply = answer(open, line);
        if (reply.empty()) {
            ::shutdown(socket.native_handle(), SHUT_RDWR);
            return;
        }
        boost::asio::write(socket, boost::asio::buffer(reply), error);
    }
}

std::string session_endpoint::point() const {
    return std::to_string(m_group->term) + "." + std::to_string(m_group->position);
}

std::string session_endpoint::done(const session& open, const std::string& rows) const {
    return rows + "DONE signed-by-" + m_id + "\r\nREADY " + open.state + " " + point() + "\r\n";
}

std::string session_endpoint::refused(session& open, const std::string& code) const {
    return "ERROR " + code + " " + m_id + "\r\nREADY " + open.state + " " + point() + "\r\n";
}

std::string session_endpoint::answer(session& open, const std::string& line) {
    std::istringstream words{line};
    std::string verb;
    words >> verb;
    if (verb == "STARTUP") {
        std::string group;
        std::string user;
        std::string id;
        words >> group >> user >> id;
        const std::lock_guard lock{m_group->lock};
        const bool expected = group == m_group_name && (id.empty() || id == m_id);
        return expected ? "READY I " + point() + "\r\n" : "ERROR WRONGNODE " + m_id + "\r\n";
    }
    std::string id;
    words >> id >> std::ws;
    std::string text;
    std::getline(words, text);
    return verb == "QUERY" ? run(open, id, text) : std::string{};
}

std::string session_endpoint::run(session& open, const std::string& id, const std::string& text) {
    std::istringstream words{text};
    std::string verb;
    words >> verb;
    if (verb == "AFTER") {
        std::string required;
        words >> required >> verb;
    }
    {
        const std::lock_guard lock{m_fault_lock};
        if (verb == m_refused_verb) {
            m_refused_verb.clear();
            return refused(open, m_refused_code);
        }
    }
    const std::lock_guard lock{m_group->lock};
    m_group->log.push_back(m_id + " " + id + " " + text);
    std::string name;
    std::string rest;
    words >> name >> std::ws;
    std::getline(words, rest);
    std::string reply;
    if (verb == "RESET") {
        open.values.clear();
        open.prepared.clear();
        reply = done(open, "");
    } else if (verb == "SET") {
        open.values[name] = rest;
        reply = done(open, "");
    } else if (verb == "PREPARE") {
        open.prepared[name] = rest.substr(0, rest.find(' '));
        reply = done(open, "");
    } else if (verb == "STATUS") {
        const bool leads = m_group->primary == m_id;
        reply = done(open, "ROW " + std::string{leads ? "primary " : "replica "} +
                               std::to_string(m_group->term) + " " + point() + " 0 0 0 1\r\n");
    } else if (verb == "STEPDOWN") {
        reply = done(open, "ROW replica 1 " + point() + " 0 0 0 1\r\n");
    } else if (verb == "BEGIN") {
        const bool allowed = name == "READ" || m_group->primary == m_id;
        open.state = allowed ? 'T' : 'I';
        reply = allowed ? done(open, "") : refused(open, "READONLY");
    } else if (verb == "ROLLBACK") {
        open.written.clear();
        open.state = 'I';
        reply = done(open, "");
    } else if (verb == "COMMIT") {
        reply = commit(open);
    } else if (verb == "EXECUTE") {
        const auto prepared = open.prepared.find(name);
        const std::size_t blank = rest.find(' ');
        const std::string data = blank == std::string::npos ? "" : rest.substr(blank + 1);
        reply = prepared == open.prepared.end()
                    ? refused(open, "NOSTMT")
                    : run_item(open, prepared->second, rest.substr(0, blank), data);
    } else {
        reply = run_item(open, verb, name, rest);
    }
    const std::lock_guard fault_lock{m_fault_lock};
    if (verb == m_dropped_response_verb) {
        m_dropped_response_verb.clear();
        return {};
    }
    return reply;
}

std::string session_endpoint::run_item(session& open, const std::string& verb,
                                       const std::string& item, const std::string& data) {
    if (verb == "READ") {
        const auto own = open.written.find(item);
        const auto found = m_group->items.find(item);
        std::string value = found == m_group->items.end() ? "none" : found->second;
        value = own == open.written.end() ? value : own->second;
        return done(open, "ROW " + value + "\r\n");
    }
    if (m_group->primary != m_id) {
        return refused(open, "READONLY");
    }
    open.written[item] = data;
    return open.state == 'T' ? done(open, "") : commit(open);
}

std::string session_endpoint::commit(session& open) {
    for (const auto& [item, data] : open.written) {
        m_group->items[item] = data;
    }
    m_group->position += open.written.empty() ? 0 : 1;
    open.written.clear();
    open.state = 'I';
    return done(open, "");
}

}  // namespace jasminelead::support
