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
    not_sent,  ///< The request was not sent, or the gateway rejected it without running it.
    lost,      ///< No answer; the gateway may have run the request.
};

/// Sends requests to gateways and tracks which of them are unreachable.
class gateway_client {
public:
    gateway_client(fleet_state& fleet, record_mirror& mirror, daemon::metrics& counters);

    void start();
    void stop() {
        m_stopped = true;
        m_pool.close();
    }

    /// Sends a request and waits for its answer; suspends the calling fiber.
    std::variant<gateway_answer, gateway_fault> ask(const host_id& gateway,
                                                    const gateway_request& request,
                                                    instant deadline);
    /// False while the gateway is unreachable, or has recently declined a request for the group.
    [[nodiscard]] bool is_usable(const host_id& gateway, const group_id& group) const;

private:
    struct host_calls {
        std::uint32_t open = 0;
        instant unanswered_since;  ///< Last answer, or start of the calls if that is later.
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
    std::map<host_id, instant> m_unreachable;  ///< Since when each host is unreachable.
    std::map<std::pair<host_id, group_id>, instant> m_declined;
    bool m_stopped = false;
};

}  // namespace jasminelead::proxy
