#pragma once

#include <cstdint>

#include "jasminelead/types.h"

/// How many connections to one endpoint a daemon keeps, when all daemons share its limit.
///
/// Load pattern: daemons with uneven load meet at one endpoint, or all open connections at once
/// after they were restarted. Each may use what is free, but keeps no more than its share idle, so
/// that a daemon that comes late is not locked out.
namespace jasminelead {

class connection_share {
public:
    /// `hosts` share the connections; 0 when this one is not among them and keeps none.
    void set_limit(std::uint32_t max_connections, std::uint32_t hosts);

    /// The endpoint refused one more connection while this daemon had `open` ones.
    void on_refused(std::uint32_t open, instant now);
    /// Connections that this daemon may have now.
    [[nodiscard]] std::uint32_t allowed(instant now) const;
    /// Idle connections above this number are closed after `idle_timeout_above_share`.
    [[nodiscard]] std::uint32_t share() const { return m_share; }
    /// When one more connection may be tried after a refusal.
    [[nodiscard]] instant retry_at() const { return m_retry_at; }

    static constexpr duration idle_timeout_above_share = duration::from_ms(800);

private:
    std::uint32_t m_max_connections = 1;
    std::uint32_t m_share = 1;
    std::uint32_t m_open_at_refusal = 0;
    instant m_retry_at;
};

}  // namespace jasminelead
