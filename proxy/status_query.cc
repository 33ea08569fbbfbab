#include "proxy/status_query.h"

#include <string>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

constexpr duration status_timeout = 250_ms;

}  // namespace

status_answer run_status_command(const fleet_state& fleet, const endpoint_id& endpoint,
                                 std::string_view text) {
    const auto pool = fleet.pool(endpoint);
    if (!pool) {
        return {std::nullopt, "not_listed"};
    }
    // Uses a separate connection, because pooled ones may be in use or unresponsive.
    endpoint_connection link{fleet.home().io()};
    const auto deadline = to_steady(boot_now() + status_timeout);
    const auto opened = link.open(pool->endpoint().entry, account_id{}, deadline);
    if (const auto* const refusal = std::get_if<statement_fault>(&opened)) {
        return {std::nullopt, to_string(*refusal)};
    }
    if (const auto* const lost = std::get_if<connection_fault>(&opened)) {
        return {std::nullopt, to_string(*lost)};
    }
    std::string query;
    platform::encode_query(query, platform::internal_statement_id(), text);
    const auto answer = link.exchange(query, deadline);
    link.close();
    if (const auto* const lost = std::get_if<connection_fault>(&answer)) {
        return {std::nullopt, to_string(*lost)};
    }
    const auto& received = std::get<endpoint_answer>(answer);
    if (received.fault) {
        const bool is_busy = *received.fault == statement_fault::busy;
        return {std::nullopt, to_string(*received.fault), is_busy};
    }
    const auto status = platform::decode_status_rows(received.rows);
    return {status, status ? "" : "unreadable"};
}

status_answer query_status(const fleet_state& fleet, const endpoint_id& endpoint) {
    return run_status_command(fleet, endpoint, platform::status_text());
}

void log_status(const group_id& group, std::string_view step, const endpoint_id& endpoint,
                const status_answer& answer) {
    log_line line{log_class::change, "endpoint_status"};
    line.with("group", group).with("step", step).with("endpoint", endpoint);
    if (answer.status) {
        line.with("role", to_string(answer.status->role))
            .with("term", answer.status->term)
            .with("log_term", answer.status->received.term)
            .with("log_position", answer.status->received.position);
    } else {
        line.with("fault", answer.fault);
    }
    line.write();
}

}  // namespace jasminelead::proxy
