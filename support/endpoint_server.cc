#include "endpoint_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <chrono>
#include <mutex>
#include <set>
#include <thread>

#include "http_server.h"
#include "jasminelead/endpoint_json.h"

namespace jasminelead::support {
namespace {

namespace json = boost::json;
using http_status = boost::beast::http::status;

constexpr std::size_t max_records_per_pull = 256;
constexpr std::int64_t pull_timeout_ms = 500;

instant now() {
    const auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
    return instant::from_us(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

json::array term_starts_to_json(std::span<const term_start> runs) {
    json::array list;
    for (const term_start& run : runs) {
        list.push_back(json::object{{"term", run.term}, {"position", run.position}});
    }
    return list;
}

std::vector<term_start> term_starts_from_json(const json::value& list) {
    std::vector<term_start> runs;
    for (const json::value& item : list.as_array()) {
        runs.push_back({item.at("term").to_number<term_number>(),
                        item.at("position").to_number<log_position>()});
    }
    return runs;
}

class endpoint_server {
public:
    explicit endpoint_server(const endpoint_settings& settings)
        : m_settings{settings}, m_model{settings.entry, settings.role, settings.limits} {
        if (settings.role == endpoint_role::replica) {
            m_model.control(follow_request{1, settings.primary, 0}, now());
        }
    }

    std::optional<http_reply> answer(http_connection& connection, std::string_view target,
                                     const json::value& body) {
        while (is_silent(connection)) {
            std::this_thread::sleep_for(std::chrono::hours{1});
        }
        if (target == "/connect") {
            std::this_thread::sleep_for(std::chrono::milliseconds{m_settings.connect_delay_ms});
        }
        try {
            const std::lock_guard lock{m_mutex};
            return answer_locked(connection, target, body);
        } catch (const std::exception& error) {
            return http_reply{http_status::bad_request, json::object{{"error", error.what()}}};
        }
    }

    void closed(http_connection& connection) {
        const std::lock_guard lock{m_mutex};
        m_model.disconnect(connection.number);
        m_sockets.erase(connection.number);
    }

    /// Pulls log records from the primary until the process ends.
    [[noreturn]] void replicate() {
        while (true) {
            std::this_thread::sleep_for(
                std::chrono::milliseconds{m_settings.replication_interval_ms});
            pull_log_records();
        }
    }

private:
    std::optional<http_reply> answer_locked(http_connection& connection, std::string_view target,
                                            const json::value& body) {
        if (target == "/connect") {
            return connect(connection, body);
        }
        if (target == "/run") {
            return run(connection, body);
        }
        if (target == "/replicate") {
            return http_reply{http_status::ok, records_for(body)};
        }
        if (target == "/admin/silence") {
            silence_current_connections();
            return http_reply{http_status::ok, json::object{}};
        }
        return control(target, body);
    }

    std::optional<http_reply> connect(http_connection& connection, const json::value& body) {
        const auto epoch = body.at("epoch").to_number<epoch_number>();
        if (m_model.connections() >= m_settings.limits.max_connections) {
            return http_reply{http_status::too_many_requests, json::object{{"error", "limit"}}};
        }
        if (const auto error = m_model.connect(connection.number, epoch)) {
            return http_reply{http_status::conflict, json::object{{"error", to_string(*error)}}};
        }
        m_sockets[connection.number] = connection.socket;
        return http_reply{http_status::ok, json::object{{"stamp", to_json(m_model.stamp())}}};
    }

    std::optional<http_reply> run(http_connection& connection, const json::value& body) {
        if (!m_model.is_open(connection.number)) {
            return std::nullopt;
        }
        const auto kind = parse_request_kind(body.at("kind").as_string());
        if (!kind) {
            return http_reply{http_status::bad_request, json::object{{"error", "unknown kind"}}};
        }
        const run_result result =
            m_model.run(connection.number, *kind, body.at("text").as_string(),
                        body.at("read").as_bool(), body.at("term").to_number<term_number>());
        return http_reply{http_status::ok, json::object{{"sequence", body.at("sequence")},
                                                        {"status", to_string(result.status)},
                                                        {"result", json::parse(result.result)},
                                                        {"stamp", to_json(result.stamp)}}};
    }

    http_reply control(std::string_view target, const json::value& body) {
        const auto request = parse_control(target, body);
        if (!request) {
            return {http_status::not_found, json::object{{"error", "unknown call"}}};
        }
        const control_result result = m_model.control(*request, now());
        close_dropped_connections();
        return {http_status::ok,
                json::object{{"accepted", result.accepted}, {"state", to_json(result.state)}}};
    }

    void close_dropped_connections() {
        std::erase_if(m_sockets, [this](const auto& item) {
            const bool dropped = !m_model.is_open(item.first);
            if (dropped) {
                ::shutdown(item.second, SHUT_RDWR);
            }
            return dropped;
        });
    }

    void silence_current_connections() {
        for (const auto& [number, socket] : m_sockets) {
            m_silent.insert(number);
        }
    }

    bool is_silent(const http_connection& connection) {
        const std::lock_guard lock{m_mutex};
        return m_silent.contains(connection.number);
    }

    json::value records_for(const json::value& body) const {
        const auto runs = term_starts_from_json(body.at("runs"));
        const auto from = m_model.common_prefix(runs, body.at("size").to_number<log_position>());
        const auto log = m_model.log().subspan(from);
        json::array records;
        for (const log_record& record : log.first(std::min(log.size(), max_records_per_pull))) {
            json::array statements(record.statements.begin(), record.statements.end());
            records.push_back(
                json::object{{"term", record.term}, {"statements", std::move(statements)}});
        }
        const bool primary = m_model.stamp().role == endpoint_role::primary;
        return json::object{
            {"primary", primary},
            {"term", m_model.stamp().term},
            {"from", from},
            {"records", std::move(records)},
            {"terms", term_starts_to_json({m_model.terms().begin(), m_model.terms().size()})}};
    }

    void pull_log_records() {
        std::string address;
        json::object request;
        {
            const std::lock_guard lock{m_mutex};
            const auto peer = m_settings.peers.find(m_model.primary());
            if (m_model.stamp().role == endpoint_role::primary || peer == m_settings.peers.end()) {
                return;
            }
            address = peer->second;
            request = {{"runs", term_starts_to_json(m_model.log_term_starts())},
                       {"size", m_model.log().size()}};
        }
        const auto answer = post_json(address, "/replicate", request, pull_timeout_ms);
        if (answer && answer->status == http_status::ok && answer->body.at("primary").as_bool()) {
            append(answer->body);
        }
    }

    void append(const json::value& answer) {
        std::vector<log_record> records;
        for (const json::value& item : answer.at("records").as_array()) {
            log_record record{item.at("term").to_number<term_number>(), {}};
            for (const json::value& statement : item.at("statements").as_array()) {
                record.statements.emplace_back(statement.as_string());
            }
            records.push_back(std::move(record));
        }
        term_history terms;
        for (const term_start& start : term_starts_from_json(answer.at("terms"))) {
            terms.push(start);
        }
        const std::lock_guard lock{m_mutex};
        m_model.append(answer.at("term").to_number<term_number>(),
                       answer.at("from").to_number<log_position>(), records, terms, now());
    }

    const endpoint_settings& m_settings;
    std::mutex m_mutex;
    endpoint_model m_model;
    std::map<std::uint64_t, int> m_sockets;
    std::set<std::uint64_t> m_silent;
};

}  // namespace

void serve_endpoint(const endpoint_settings& settings) {
    endpoint_server server{settings};
    std::thread{[&server] { server.replicate(); }}.detach();
    http_handlers handlers;
    handlers.request = [&server](http_connection& connection, std::string_view target,
                                 const json::value& body) {
        return server.answer(connection, target, body);
    };
    handlers.closed = [&server](http_connection& connection) { server.closed(connection); };
    serve_http(settings.entry.address, handlers);
}

}  // namespace jasminelead::support
