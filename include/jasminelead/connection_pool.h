#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "jasminelead/types.h"

/// Bookkeeping for the connections to one endpoint. The owner opens and closes them.
namespace jasminelead {

struct pooled_connection {
    enum class phase { opening, idle, in_use };
    phase state = phase::opening;
    service_id service;             ///< Service that uses the connection; empty unless in use.
    std::uint64_t transaction = 0;  ///< Transaction bound to the connection; 0 for none.
    std::uint64_t call = 0;         ///< Call whose answer is outstanding; 0 for none.
    std::uint64_t sequence = 0;     ///< Sequence number of the last statement.
    instant idle_since;
    account_id account;  ///< Account in whose name it was opened; empty if in none.
};

class connection_pool {
public:
    /// Number of connections to open now for `demand` waiting calls; never exceeds the limit.
    [[nodiscard]] std::uint32_t missing(std::uint32_t demand, std::uint32_t limit,
                                        instant now) const;
    void add_opening(connection_id id, const account_id& account = account_id{});
    /// Returns false if the connection is unknown or already open.
    bool set_open(connection_id id, instant now);
    /// Marks the most recently used idle connection as in use by `service` and returns it.
    std::optional<connection_id> take(const service_id& service, instant now);
    [[nodiscard]] std::optional<connection_id> most_recent_idle() const {
        return m_idle.empty() ? std::nullopt : std::optional{m_idle.back()};
    }
    /// The most recently used idle connection of the account.
    [[nodiscard]] std::optional<connection_id> idle_of_account(const account_id& account) const;
    /// Marks it as in use by `service` and returns it.
    std::optional<connection_id> take_of_account(const account_id& account,
                                                 const service_id& service, instant now);
    void put_back(connection_id id, instant now);
    /// Removes a closed connection and returns its last state.
    std::optional<pooled_connection> remove(connection_id id, instant now);
    /// Removes and returns the idle connections above the limit, and those above the target that
    /// were idle for 30 s.
    std::vector<connection_id> take_surplus(std::uint32_t limit, instant now);
    /// The connections above `keep` that were idle for `idle_for` or longer.
    [[nodiscard]] std::vector<connection_id> idle_above(std::uint32_t keep, duration idle_for,
                                                        instant now) const;
    /// Removes and returns all connections.
    std::vector<connection_id> take_all();

    /// Calls `visit(id, connection)` for each idle connection, the longest idle first.
    template <class Visitor>
    void visit_idle(Visitor visit) const {
        for (const connection_id id : m_idle) {
            visit(id, m_connections.at(id));
        }
    }
    /// Opening connections of the account.
    [[nodiscard]] std::uint32_t opening(const account_id& account) const;
    /// Idle connections of the account.
    [[nodiscard]] std::uint32_t idle(const account_id& account) const;

    [[nodiscard]] pooled_connection* find(connection_id id);
    /// Open and opening connections.
    [[nodiscard]] std::uint32_t size() const;
    [[nodiscard]] std::uint32_t opening() const { return m_opening; }
    [[nodiscard]] std::uint32_t idle() const { return static_cast<std::uint32_t>(m_idle.size()); }
    [[nodiscard]] std::uint32_t in_use() const { return m_in_use; }
    [[nodiscard]] std::uint32_t in_use(const service_id& service) const;
    /// Peak in use over the last 30 s, plus 1.
    [[nodiscard]] std::uint32_t target(instant now) const;
    /// Next time at which take_surplus may return a connection; nullopt with a single connection.
    [[nodiscard]] std::optional<instant> next_surplus(instant now) const;

private:
    struct peak_sample {
        instant until;  // Last time at which this many connections were in use.
        std::uint32_t in_use = 0;
    };
    connection_id use(std::vector<connection_id>::iterator at, const service_id& service,
                      instant now);
    [[nodiscard]] std::uint32_t count(const account_id& account,
                                      pooled_connection::phase state) const;
    void change_in_use(const service_id& service, bool more, instant now);
    void record_peak(instant now);

    std::map<connection_id, pooled_connection> m_connections;
    std::vector<connection_id> m_idle;  // Most recently used last.
    std::map<service_id, std::uint32_t> m_service_use;
    std::deque<peak_sample> m_peaks;  // Descending in_use, ascending until.
    std::uint32_t m_opening = 0;
    std::uint32_t m_in_use = 0;
};

}  // namespace jasminelead
