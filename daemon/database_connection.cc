#include "database_connection.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

#include "jasminelead/endpoint_json.h"
#include "json_members.h"

namespace jasminelead::daemon {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds open_timeout{1000};
constexpr std::size_t max_status_bytes = 16;

std::string render(const open_connection& request) {
    return json::serialize(
        json::object{{"connection", request.connection}, {"epoch", request.epoch}});
}

std::string render(const run_statement& statement) {
    return json::serialize(json::object{{"sequence", statement.sequence},
                                        {"kind", to_string(statement.kind)},
                                        {"text", statement.text},
                                        {"read", statement.read},
                                        {"term", statement.term}});
}

std::optional<position_stamp> parse_stamp_member(json_members& members) {
    const json::value* const stamp = members.required("stamp");
    return stamp == nullptr ? std::nullopt : parse_stamp(*stamp);
}

std::optional<statement_answered> parse_answer(const std::string& body) {
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    json_members members{value};
    statement_answered answer;
    answer.sequence = members.number("sequence", 0, UINT64_MAX);
    const auto status = parse_run_status(members.text("status", max_status_bytes));
    const auto stamp = parse_stamp_member(members);
    if (error || !members.ok() || !status || !stamp) {
        return std::nullopt;
    }
    answer.status = *status;
    answer.stamp = *stamp;
    if (const json::value* const result = members.optional("result")) {
        answer.result = json::serialize(*result);
    }
    return answer;
}

std::optional<position_stamp> parse_opened(const std::string& body) {
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    json_members members{value};
    return error ? std::nullopt : parse_stamp_member(members);
}

endpoint_error refusal_error(const http_response& response) {
    constexpr unsigned conflict = 409;
    constexpr unsigned too_many_requests = 429;
    if (response.status == conflict) {
        return endpoint_error::stale_epoch;
    }
    return response.status == too_many_requests ? endpoint_error::limit : endpoint_error::protocol;
}

}  // namespace

database_connection::database_connection(boost::asio::io_context& io, open_connection request,
                                         std::string address, const event_sink& events)
    : m_request{std::move(request)},
      m_address{std::move(address)},
      m_events{events},
      m_client{io} {}

void database_connection::run(run_statement statement) {
    m_statements.push_back(std::move(statement));
    m_work.notify();
}

void database_connection::close() {
    m_closed = true;
    m_client.close();
    m_work.notify();
}

void database_connection::serve() {
    position_stamp stamp;
    const auto error = open(stamp);
    if (m_closed) {
        return;
    }
    if (error) {
        emit(m_events, connection_failed{m_request.endpoint, m_request.connection, *error});
        return;
    }
    emit(m_events, connection_opened{m_request.endpoint, m_request.connection, stamp});
    serve_opened();
}

std::optional<endpoint_error> database_connection::open(position_stamp& stamp) {
    const steady_time deadline = std::chrono::steady_clock::now() + open_timeout;
    if (const auto error = m_client.connect(m_address, deadline)) {
        return error;
    }
    const auto answer = m_client.exchange("POST", "/connect", render(m_request), deadline);
    if (const auto* const error = std::get_if<endpoint_error>(&answer)) {
        return *error;
    }
    const auto& response = std::get<http_response>(answer);
    if (response.status != 200) {
        return refusal_error(response);
    }
    const auto parsed = parse_opened(response.body);
    if (!parsed || !response.keep_alive) {
        return endpoint_error::protocol;
    }
    stamp = *parsed;
    return std::nullopt;
}

void database_connection::serve_opened() {
    std::optional<endpoint_error> error;
    while (!m_closed && !error) {
        if (!m_statements.empty()) {
            error = run_next_statement();
            continue;
        }
        error = check_idle();
        if (!error) {
            watch_readability();
            m_work.wait();
        }
    }
    if (!m_closed) {
        m_client.close();
        emit(m_events, connection_lost{m_request.endpoint, m_request.connection, *error});
    }
}

std::optional<endpoint_error> database_connection::run_next_statement() {
    const run_statement statement = std::move(m_statements.front());
    m_statements.pop_front();
    // No deadline here: the kernel closes the connection when the answer is overdue.
    const auto answer = m_client.exchange("POST", "/run", render(statement), no_deadline);
    if (m_closed) {
        return std::nullopt;
    }
    if (const auto* const error = std::get_if<endpoint_error>(&answer)) {
        return *error;
    }
    const auto& response = std::get<http_response>(answer);
    auto answered = response.status == 200 ? parse_answer(response.body) : std::nullopt;
    if (!answered) {
        return endpoint_error::protocol;
    }
    answered->endpoint = m_request.endpoint;
    answered->connection = m_request.connection;
    emit(m_events, std::move(*answered));
    return std::nullopt;
}

std::optional<endpoint_error> database_connection::check_idle() {
    if (m_client.is_usable()) {
        return std::nullopt;
    }
    return endpoint_error::reset;
}

void database_connection::watch_readability() {
    if (std::exchange(m_readability_wait_pending, true)) {
        return;
    }
    m_client.when_readable([self = shared_from_this()] {
        self->m_readability_wait_pending = false;
        self->m_work.notify();
    });
}

}  // namespace jasminelead::daemon
