#include "jasminelead/reason.h"

#include <algorithm>
#include <array>

namespace jasminelead {
namespace {

constexpr std::array<std::string_view, reason_count> names = {
    "none",
    "bad_request",
    "too_large",
    "slow_sender",
    "bad_token",
    "session_full",
    "session_position_lost",
    "session_term_unknown",
    "unknown_group",
    "unknown_service",
    "no_table",
    "no_primary",
    "no_majority",
    "no_endpoint_fresh_enough",
    "no_owner",
    "not_owner",
    "not_primary",
    "endpoint_leaving",
    "endpoint_unavailable",
    "endpoint_refused",
    "statement_error",
    "overloaded",
    "connection_limit",
    "draining",
    "deadline",
    "retry_budget",
    "transaction_unknown",
    "transaction_lost",
    "connection_lost",
    "connection_silent",
    "answer_mismatch",
    "peer_lost",
    "peer_unreachable",
    "unconfirmed",
    "stale_answer",
    "key_removed",
    "invariant_broken",
};

}  // namespace

std::string_view to_string(reason why) {
    return names.at(static_cast<std::size_t>(why));
}

std::optional<reason> reason_from_string(std::string_view name) {
    const auto* const found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<reason>(found - names.begin());
}

}  // namespace jasminelead
