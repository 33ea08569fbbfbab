#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "daemon/http_pool.h"
#include "daemon/metrics.h"
#include "proxy/fleet_state.h"
#include "proxy/gateway_messages.h"
#include "proxy/record_mirror.h"

namespace jasminelead::proxy {

enum class gateway_fault {
    not_sent,  ///< Nothing of the request left this host, or the gateway refused it unread.
    lost,      ///< The gateway may have run it.
};

/// Calls gateways, and remembers which of them cannot be reached.
class gateway_client {
public:
    gateway_client(fleet_state& fleet, record_mirror& mirror, daemon::metrics& counters);

    void start();
    void stop() {
        m_stopped = true;
        m_pool.close();
    }

    /// Suspends the calling fiber.
    std::variant<gateway_answer, gateway_fault> ask(const host_id& gateway,
                                                    const gateway_request& request,
                                                    instant deadline);
    /// False while the host does not answer, or has just declined work of the group.
    [[nodiscard]] bool is_usable(const host_id& gateway, const group_id& group) const;

private:
    struct host_calls {
        std::uint32_t open = 0;
        instant unanswered_since;  ///< Last answer, or begin of the oldest call without one.
        bool is_probe_running = false;
    };

    std::optional<std::string> address_of(const host_id& gateway) const;
    std::variant<gateway_answer, gateway_fault> exchange(const std::string& address,
                                                         const gateway_request& request,
                                                         instant deadline);
    void check_silence();
    void probe(const host_id& gateway);
    bool is_answering(const std::string& address);
    void mark_unreachable(const host_id& gateway, std::string_view why);
    void mark_reachable(const host_id& gateway);

    fleet_state& m_fleet;
    record_mirror& m_mirror;
    daemon::metrics& m_counters;
    daemon::http_pool m_pool;
    std::map<host_id, host_calls> m_calls;
    std::map<host_id, instant> m_unreachable;  ///< With the begin.
    std::map<std::pair<host_id, group_id>, instant> m_declined;
    bool m_stopped = false;
};

}  // namespace jasminelead::proxy
