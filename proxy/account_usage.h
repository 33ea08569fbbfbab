#pragma once

#include <cstdint>
#include <map>

#include "daemon/metrics.h"
#include "jasminelead/types.h"

namespace jasminelead::proxy {

/// Counts what this host sends to endpoints for each account. An operation is a statement outside
/// of a transaction, or a transaction as a whole.
class account_usage {
public:
    explicit account_usage(daemon::metrics& counters) : m_counters{counters} {}

    /// Call when a statement of a caller is sent, once for each attempt.
    void on_statement(const account_id& account, bool begins_operation);
    /// Writes one log line with the counts since the last call, unless there are none.
    void log_counts();

private:
    struct counts {
        std::uint32_t operations = 0;
        std::uint32_t statements = 0;
    };

    daemon::metrics& m_counters;
    std::map<account_id, counts> m_counts;
};

}  // namespace jasminelead::proxy
