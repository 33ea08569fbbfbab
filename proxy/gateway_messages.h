#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "jasminelead/routing_config.h"
#include "proxy/session_data.h"

/// Messages with which hosts ask gateways to run statements of their sessions.
namespace jasminelead::proxy {

enum class gateway_action {
    run,        ///< One statement outside a transaction.
    begin,      ///< The first statement of a transaction.
    step,       ///< A later statement of a transaction.
    commit,     ///< Ends a transaction.
    roll_back,  ///< Rolls a transaction back.
};

struct gateway_request {
    gateway_action action = gateway_action::run;
    std::string transaction;  ///< For `step`, `commit` and `roll_back`.
    database_route route;     ///< From the configuration of the requesting host.
    forwarded_statement statement;
    bool read_only = false;    ///< For `begin`.
    bool commits = false;      ///< For `begin`: the first statement is the commit.
    bool may_decline = false;  ///< Set when another gateway could serve the request.
    /// Without prepared statements, as `statement` contains the one to execute, and without writes
    /// to groups other than that of `route`.
    session_data session;
};

struct gateway_answer {
    bool declined = false;  ///< Not run; another gateway may serve it.
    statement_outcome outcome;
    std::string transaction;    ///< Name of the transaction that `begin` opened.
    bool still_open = false;    ///< After `begin` and `step`.
    session_writes last_write;  ///< Of the session to `written_group`, with this statement.
    group_id written_group;     ///< The group of the request's route.
};

/// The message contains the age of the statement at `now`, since hosts share no clock.
std::string encode_gateway_request(const gateway_request& request, instant now);
/// Returns nothing for an incomplete or malformed request. The statement's arrival is `now` minus
/// its age, and is never earlier than the actual arrival, as the transfer time is not subtracted.
std::optional<gateway_request> decode_gateway_request(std::string_view text, instant now);
std::string encode_gateway_answer(const gateway_answer& answer);
std::optional<gateway_answer> decode_gateway_answer(std::string_view text);

}  // namespace jasminelead::proxy
