#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "jasminelead/messages.h"
#include "jasminelead/types.h"

/// In-memory model of a database endpoint: a replicated log with terms, a key-value state,
/// connections with an ownership epoch, and transactions. It does no I/O and takes the time as an
/// argument.
namespace jasminelead::support {

/// One committed statement or transaction.
struct log_record {
    term_number term = 0;
    std::vector<std::string> statements;
};

struct run_result {
    run_status status = run_status::ok;
    std::string result;  ///< JSON text.
    position_stamp stamp;
};

/// Records that a replica receives from its primary in one pull.
struct replication_batch {
    term_number term = 0;
    log_position from = 0;  ///< The replica truncates its log to this position first.
    std::vector<log_record> records;
    term_history terms;
};

struct endpoint_limits {
    std::uint32_t max_connections = 20;
    std::uint32_t slots = 3;
};

class endpoint_model {
public:
    endpoint_model(endpoint_entry entry, endpoint_role role, endpoint_limits limits);

    [[nodiscard]] const endpoint_entry& entry() const { return m_entry; }
    [[nodiscard]] endpoint_state state(instant now) const;
    [[nodiscard]] position_stamp stamp() const;
    [[nodiscard]] std::span<const log_record> log() const { return m_log; }
    [[nodiscard]] const endpoint_id& primary() const { return m_primary; }
    [[nodiscard]] std::uint32_t most_connections() const { return m_most_connections; }
    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }

    /// Opens a connection. A client that holds no claim passes `epoch` 0.
    std::optional<endpoint_error> connect(connection_id connection, epoch_number epoch);
    void disconnect(connection_id connection);
    /// A claim closes the connections of older epochs.
    [[nodiscard]] bool is_open(connection_id connection) const;

    /// Runs one statement. Statements: `get K`, `set K V`, `add K N`, `append K V`.
    run_result run(connection_id connection, request_kind kind, std::string_view text, bool read,
                   term_number term);
    control_result control(const control_request& request, instant now);

    /// At most `max_records` records that the replica is missing, or nullopt when this endpoint is
    /// not its primary.
    [[nodiscard]] std::optional<replication_batch> records_for(const endpoint_model& replica,
                                                               std::size_t max_records) const;
    /// Truncates the log to the prefix shared with the primary, then copies at most `max_records`.
    /// Returns false when the source is not this replica's primary at this term.
    bool replicate(const endpoint_model& source, instant now, std::size_t max_records);
    bool append(term_number term, log_position from, std::span<const log_record> records,
                const term_history& terms, instant now);
    /// Length of the common prefix of two logs.
    [[nodiscard]] log_position common_prefix(const std::vector<term_start>& starts,
                                             log_position size) const;
    /// Terms of the log records, each with the position before its first record.
    [[nodiscard]] std::vector<term_start> log_term_starts() const;
    [[nodiscard]] const term_history& terms() const { return m_terms; }

    /// Closes all connections. Term, role and log survive because a database stores them on disk.
    void crash();

private:
    struct session {
        epoch_number epoch = 0;
        bool in_transaction = false;
        std::vector<std::string> writes;
    };

    run_result run_single(std::string_view text, bool read, term_number term);
    run_result run_in_transaction(session& client_session, request_kind kind, std::string_view text,
                                  bool read, term_number term);
    [[nodiscard]] run_result make_result(run_status status, std::string result) const;
    [[nodiscard]] bool accepts_writes(term_number term) const;
    void commit(std::vector<std::string> statements);
    void apply(std::string_view statement);
    void truncate(log_position size);
    bool accept(const claim_request& request);
    bool accept(const release_request& request);
    bool accept(const fence_request& request);
    bool accept(const promote_request& request);
    bool accept(const follow_request& request, instant now);
    void close_stale_connections();

    endpoint_entry m_entry;
    endpoint_limits m_limits;
    endpoint_role m_role;
    term_number m_term = 1;
    std::string m_candidate;
    endpoint_id m_primary;
    instant m_primary_contact_at;
    term_history m_terms;
    std::vector<log_record> m_log;
    std::unordered_map<std::string, std::string> m_data;
    epoch_number m_epoch = 0;
    host_id m_owner;
    std::map<connection_id, session> m_connections;
    std::uint32_t m_most_connections = 0;
};

}  // namespace jasminelead::support
