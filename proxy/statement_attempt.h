#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "jasminelead/reason.h"
#include "proxy/endpoint_pool.h"
#include "proxy/session_data.h"

namespace jasminelead::proxy {

/// State of one statement over all attempts to run it.
struct statement_attempt {
    const database_route& route;
    const forwarded_statement& statement;
    const authenticated_caller& caller;
    instant give_up;
    std::set<endpoint_id> excluded;  ///< Not tried again until the next wait.
    std::optional<log_point> after;  ///< Log point that the read must see.
    duration point_age;              ///< How long ago the primary's log had reached `after`.
    /// Record that permitted the use of the primary; empty on a replica.
    std::optional<revision_number> record_revision;
    bool may_pass_on = false;  ///< Refused rather than waiting for a full primary's connections.
    std::uint32_t tries = 0;
    /// When the operation was counted against its account's limit.
    std::optional<instant> counted_at;
    reason last_reason = reason::none;
    /// The last reason why each endpoint was not used.
    std::map<endpoint_id, std::string_view> skip_reasons;

    statement_attempt(const session_data& session, const database_route& route_used,
                      const forwarded_statement& run)
        : route{route_used},
          statement{run},
          caller{session.caller},
          give_up{run.arrived + route_used.statement_timeout} {}

    [[nodiscard]] bool is_over() const;
    /// Excludes the endpoint until the next wait.
    void exclude(const endpoint_id& endpoint, std::string_view why);
    /// "endpoint=reason" for each endpoint that was not used, separated by blanks.
    [[nodiscard]] std::string skip_reasons_text() const;
    /// The request for an endpoint's queue, with the deadlines as of now.
    [[nodiscard]] work_request work() const;
};

/// Pause between two attempts when no event announces that the next one may succeed.
inline constexpr duration retry_pause = duration::from_ms(10);

}  // namespace jasminelead::proxy
