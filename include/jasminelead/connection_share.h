#pragma once

#include <cstdint>

#include "jasminelead/types.h"

/// Share of one daemon in the connection limit of an endpoint.
///
/// Load pattern: daemons with uneven load use the same endpoint, or all daemons open connections at
/// once after a restart, while the endpoint still keeps those of their earlier processes. No daemon
/// takes more than its share, or two connections, so that one that starts later is not locked out.
namespace jasminelead {

class connection_share {
public:
    /// `hosts` is the number of hosts that share the connections; 0 if this host is not one of them
    /// and keeps none.
    void set_limit(std::uint32_t max_connections, std::uint32_t hosts);
    /// For connections that belong to accounts: this host has `weight` of the hosts' total weight.
    /// Sets a share of 0 for a weight of 0.
    void set_weighted_limit(std::uint32_t max_connections, std::uint32_t weight,
                            std::uint32_t total_weight);

    /// The endpoint refused a connection while this daemon had `open` connections.
    void on_refused(std::uint32_t open, instant now);
    /// Number of connections that this daemon may have at `now`.
    [[nodiscard]] std::uint32_t allowed(instant now) const;
    /// Idle connections above this number are closed after `idle_timeout_above_share`.
    [[nodiscard]] std::uint32_t share() const { return m_share; }
    /// Time from which another connection may be tried after a refusal.
    [[nodiscard]] instant retry_at() const { return m_retry_at; }

    static constexpr duration idle_timeout_above_share = duration::from_ms(800);

private:
    std::uint32_t m_max_connections = 1;
    std::uint32_t m_share = 1;
    std::uint32_t m_open_at_refusal = 0;
    instant m_retry_at;
};

}  // namespace jasminelead
