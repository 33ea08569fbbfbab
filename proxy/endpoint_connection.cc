#include "proxy/endpoint_connection.h"

#include <array>
#include <chrono>

#include "daemon/clock.h"

namespace jasminelead::proxy {
namespace {

constexpr std::size_t read_bytes = std::size_t{8} * 1024;
// Bytes that stay unacknowledged reveal a broken network path before a statement times out.
constexpr std::chrono::milliseconds unacknowledged_limit{900};

connection_fault translate(const boost::system::error_code& error) {
    if (error == boost::asio::error::connection_refused) {
        return connection_fault::refused;
    }
    if (error == boost::asio::error::timed_out) {
        return connection_fault::silent;
    }
    return connection_fault::lost;
}

}  // namespace

std::string_view to_string(connection_fault fault) {
    switch (fault) {
        case connection_fault::refused:
            return "refused";
        case connection_fault::lost:
            return "lost";
        case connection_fault::silent:
            return "silent";
        case connection_fault::protocol:
            return "protocol";
    }
    return "lost";
}

connection_fault endpoint_connection::fail(connection_fault fault) {
    m_stream.reset();
    return fault;
}

std::variant<std::optional<log_point>, connection_fault, statement_fault> endpoint_connection::open(
    const endpoint_entry& endpoint, const account_id& account, steady_time deadline) {
    const auto to = daemon::parse_address(endpoint.address);
    if (!to) {
        return connection_fault::protocol;
    }
    if (const auto error = m_stream.connect(*to, deadline)) {
        const connection_fault fault = translate(error);
        return fail(fault == connection_fault::lost ? connection_fault::refused : fault);
    }
    daemon::set_tcp_user_timeout(m_stream.socket(), unacknowledged_limit);
    std::string startup;
    platform::encode_startup(startup, endpoint.group, account, endpoint.id);
    const auto answer = exchange(startup, deadline);
    if (const auto* const fault = std::get_if<connection_fault>(&answer)) {
        return *fault;
    }
    const auto& received = std::get<endpoint_answer>(answer);
    if (received.fault) {
        m_stream.close();
        return *received.fault;
    }
    return received.point;
}

std::optional<connection_fault> endpoint_connection::send(std::string_view queries,
                                                          steady_time deadline) {
    const auto error = m_stream.write(boost::asio::buffer(queries), deadline);
    if (error) {
        return fail(translate(error));
    }
    return std::nullopt;
}

std::variant<std::string_view, connection_fault> endpoint_connection::next_line(
    steady_time deadline) {
    std::array<char, read_bytes> bytes{};
    for (;;) {
        if (const auto line = m_received.next()) {
            return *line;
        }
        if (m_received.overflowed()) {
            return fail(connection_fault::protocol);
        }
        boost::system::error_code error;
        const std::size_t size = m_stream.read_some(boost::asio::buffer(bytes), deadline, error);
        if (error) {
            return fail(translate(error));
        }
        m_received.append({bytes.data(), size});
    }
}

std::variant<endpoint_answer, connection_fault> endpoint_connection::receive(steady_time deadline) {
    endpoint_answer answer;
    for (;;) {
        const auto next = next_line(deadline);
        if (const auto* const fault = std::get_if<connection_fault>(&next)) {
            return *fault;
        }
        const std::string_view text = std::get<std::string_view>(next);
        const auto line = platform::decode_endpoint_line(text);
        if (std::holds_alternative<platform::row_line>(line)) {
            answer.rows.append(text).append("\r\n");
        } else if (const auto* const done = std::get_if<platform::done_line>(&line)) {
            answer.signature = done->signature;
        } else if (const auto* const error = std::get_if<platform::error_line>(&line)) {
            answer.fault = error->fault;
            answer.fault_text = error->text;
            // After these startup faults the endpoint closes without sending a ready line.
            if (*answer.fault == statement_fault::wrong_endpoint ||
                *answer.fault == statement_fault::connection_limit) {
                return answer;
            }
        } else if (const auto* const ready = std::get_if<platform::ready_line>(&line)) {
            answer.state = ready->state;
            answer.point = ready->point;
            m_last_answer = daemon::boot_now();
            return answer;
        } else {
            return fail(connection_fault::protocol);
        }
    }
}

std::variant<endpoint_answer, connection_fault> endpoint_connection::exchange(
    std::string_view query, steady_time deadline) {
    if (const auto fault = send(query, deadline)) {
        return *fault;
    }
    return receive(deadline);
}

bool endpoint_connection::is_usable() {
    return m_stream.is_open() && m_received.empty() && m_stream.is_connected_and_idle();
}

}  // namespace jasminelead::proxy
