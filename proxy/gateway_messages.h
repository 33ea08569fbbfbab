#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "jasminelead/routing_config.h"
#include "proxy/session_data.h"

/// What hosts ask gateways to do for their sessions.
namespace jasminelead::proxy {

enum class gateway_action {
    run,        ///< One statement outside a transaction.
    begin,      ///< The first statement of a transaction.
    step,       ///< A later one.
    commit,     ///< Ends a transaction.
    roll_back,  ///< Gives a transaction up.
};

struct gateway_request {
    gateway_action action = gateway_action::run;
    std::string transaction;  ///< Of `step`, `commit` and `roll_back`.
    database_route route;     ///< As the asking host's configuration has it.
    forwarded_statement statement;
    bool read_only = false;    ///< Of `begin`.
    bool commits = false;      ///< Of `begin`: the first statement is the commit.
    bool may_decline = false;  ///< Another gateway can be asked.
    /// Without the prepared statements; the one that is executed is in `statement`.
    session_data session;
};

struct gateway_answer {
    bool declined = false;  ///< Not run; another gateway may serve it.
    statement_outcome outcome;
    std::string transaction;  ///< Names the transaction that is open after `begin`.
    bool still_open = false;  ///< Of `begin` and `step`.
    session_writes writes;    ///< Of the session, after the statement.
    group_id written_group;
};

/// `now` is the present; the message carries how long ago the statement arrived.
std::string encode_gateway_request(const gateway_request& request, instant now);
/// Nothing when it is not a complete request. The statement's arrival is told on the clock of
/// `now`, not earlier than it was.
std::optional<gateway_request> decode_gateway_request(std::string_view text, instant now);
std::string encode_gateway_answer(const gateway_answer& answer);
std::optional<gateway_answer> decode_gateway_answer(std::string_view text);

}  // namespace jasminelead::proxy
