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

/// One statement on its way, over all its tries.
struct statement_attempt {
    const database_route& route;
    const forwarded_statement& statement;
    instant give_up;
    std::set<endpoint_id> excluded;
    std::optional<log_point> after;
    duration point_age;
    std::uint32_t tries = 0;
    reason last_reason = reason::none;
    /// Why endpoints did not answer: the last reason of each.
    std::map<endpoint_id, std::string_view> skip_reasons;

    statement_attempt(const database_route& route_used, const forwarded_statement& run)
        : route{route_used}, statement{run}, give_up{run.arrived + route_used.statement_timeout} {}

    [[nodiscard]] bool is_over() const;
    /// Passes the endpoint over until the next wait.
    void exclude(const endpoint_id& endpoint, std::string_view why);
    /// "endpoint=reason" for each endpoint that was passed over, separated by blanks.
    [[nodiscard]] std::string skip_reasons_text() const;
    /// What the statement asks of an endpoint's queue now.
    [[nodiscard]] work_request work() const;
};

/// Between two tries when nothing better is known than to try again.
inline constexpr duration retry_pause = duration::from_ms(10);

}  // namespace jasminelead::proxy
