#pragma once

#include <cstdint>
#include <optional>

#include "jasminelead/types.h"

/// Whether an endpoint can be reached from this daemon, judged by its connections.
namespace jasminelead {

class endpoint_health {
public:
    /// A complete answer arrived.
    void on_answer();
    /// A new connection could not be opened.
    void on_connect_failed(instant now);

    [[nodiscard]] bool is_reachable() const { return !m_unreachable_since; }
    /// Since when no connection could be opened; nothing while it is reachable.
    [[nodiscard]] std::optional<instant> unreachable_since() const { return m_unreachable_since; }
    /// When the next connection may be tried.
    [[nodiscard]] instant retry_at() const { return m_retry_at; }
    [[nodiscard]] std::uint32_t failures() const { return m_failures; }

private:
    std::optional<instant> m_unreachable_since;
    instant m_retry_at;
    std::uint32_t m_failures = 0;
};

}  // namespace jasminelead
