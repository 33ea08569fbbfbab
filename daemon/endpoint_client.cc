#include "endpoint_client.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

#include "jasminelead/endpoint_json.h"
#include "json_members.h"

namespace jasminelead::daemon {
namespace {

namespace json = boost::json;

// An endpoint without an address in the host list may still be running, so the error is not
// `refused`, which could trigger a promotion.
constexpr endpoint_error unknown_address = endpoint_error::timeout;
constexpr std::size_t max_idle_control_connections = 4;

std::optional<control_result> parse_control_result(const std::string& body) {
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    json_members members{value};
    control_result result;
    result.accepted = members.flag("accepted");
    const json::value* const state = members.required("state");
    const auto parsed = state == nullptr ? std::nullopt : parse_state(*state);
    if (error || !members.ok() || !parsed) {
        return std::nullopt;
    }
    result.state = *parsed;
    return result;
}

}  // namespace

endpoint_client::endpoint_client(worker& io_worker, const address_book& addresses,
                                 event_sink events)
    : m_worker{io_worker},
      m_addresses{addresses},
      m_events{std::move(events)},
      m_control{io_worker.io(), max_idle_control_connections} {}

void endpoint_client::open(open_connection request) {
    if (m_stopped) {
        return;
    }
    const auto address = m_addresses.address_of(request.endpoint);
    if (!address) {
        emit(m_events, connection_failed{request.endpoint, request.connection, unknown_address});
        return;
    }
    const connection_key key{request.endpoint, request.connection};
    auto opened = std::make_shared<database_connection>(m_worker.io(), std::move(request), *address,
                                                        m_events);
    m_connections[key] = opened;
    m_worker.spawn([this, key, opened = std::move(opened)] {
        opened->serve();
        const auto found = m_connections.find(key);
        if (found != m_connections.end() && found->second == opened) {
            m_connections.erase(found);
        }
    });
}

void endpoint_client::run(run_statement statement) {
    const auto found = m_connections.find({statement.endpoint, statement.connection});
    // The loss of a missing connection was already reported.
    if (found != m_connections.end()) {
        found->second->run(std::move(statement));
    }
}

void endpoint_client::close(const close_connection& request) {
    const auto found = m_connections.find({request.endpoint, request.connection});
    if (found != m_connections.end()) {
        found->second->close();
        m_connections.erase(found);
    }
}

void endpoint_client::call(control_call request) {
    m_worker.spawn([this, request = std::move(request)] {
        emit(m_events, control_answered{request.id, request.endpoint, perform(request)});
    });
}

std::variant<control_result, endpoint_error> endpoint_client::perform(const control_call& request) {
    const auto address = m_addresses.address_of(request.endpoint);
    if (!address) {
        return unknown_address;
    }
    const std::string body = json::serialize(to_json(request.request));
    http_call call;
    call.address = *address;
    call.target = path_of(request.request);
    call.body = body;
    call.deadline =
        std::chrono::steady_clock::now() + std::chrono::microseconds{request.timeout.us()};
    call.new_connection = request.new_connection;
    call.repeatable = std::holds_alternative<status_query>(request.request);
    const auto answer = m_control.call(call);
    if (const auto* const error = std::get_if<endpoint_error>(&answer)) {
        return *error;
    }
    const auto& response = std::get<http_response>(answer);
    const auto result = response.status == 200 ? parse_control_result(response.body) : std::nullopt;
    if (!result) {
        return endpoint_error::protocol;
    }
    return *result;
}

void endpoint_client::stop() {
    m_stopped = true;
    for (const auto& [key, connection] : m_connections) {
        connection->close();
    }
    m_connections.clear();
    m_control.close();
}

}  // namespace jasminelead::daemon
