#pragma once

#include <cstdint>
#include <optional>

#include "jasminelead/types.h"

/// Reachability of an endpoint from this daemon, based on its answers and failed connection
/// attempts.
namespace jasminelead {

class endpoint_health {
public:
    /// A complete answer arrived.
    void on_answer();
    /// A new connection could not be opened.
    void on_connect_failed(instant now);

    [[nodiscard]] bool is_reachable() const { return !m_unreachable_since; }
    /// Time of the first failed connection attempt; nullopt while the endpoint is reachable.
    [[nodiscard]] std::optional<instant> unreachable_since() const { return m_unreachable_since; }
    /// Time from which the next connection may be tried.
    [[nodiscard]] instant retry_at() const { return m_retry_at; }
    [[nodiscard]] std::uint32_t failures() const { return m_failures; }

private:
    std::optional<instant> m_unreachable_since;
    instant m_retry_at;
    std::uint32_t m_failures = 0;
};

}  // namespace jasminelead
