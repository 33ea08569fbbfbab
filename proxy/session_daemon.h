#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "daemon/metrics.h"
#include "daemon/worker.h"
#include "proxy/connection_listener.h"
#include "proxy/failover_agent.h"
#include "proxy/fleet_state.h"
#include "proxy/gateway_client.h"
#include "proxy/gateway_server.h"
#include "proxy/granter_keeper.h"
#include "proxy/mark_exchange.h"
#include "proxy/peer_sync.h"
#include "proxy/record_follower.h"
#include "proxy/session.h"
#include "proxy/settings.h"
#include "proxy/statement_dispatcher.h"
#include "proxy/statement_router.h"
#include "proxy/status_pages.h"
#include "proxy/store_sync.h"

namespace jasminelead::proxy {

/// Serves sessions of callers, with all components of one host.
class session_daemon {
public:
    explicit session_daemon(settings options);
    ~session_daemon();
    session_daemon(const session_daemon&) = delete;
    session_daemon& operator=(const session_daemon&) = delete;
    session_daemon(session_daemon&&) = delete;
    session_daemon& operator=(session_daemon&&) = delete;

    /// Returns an error message when an address cannot be listened on.
    std::optional<std::string> start();
    /// Port on which callers connect.
    [[nodiscard]] std::uint16_t port() const;
    /// Applies settings that need no restart: the addresses of the store, of promotions and of
    /// seeds, the grace period and the log level. Thread-safe.
    void reload(const settings& loaded);
    /// Logs why a changed settings file is not applied. Thread-safe.
    void log_settings_errors(const settings_errors& errors);
    /// Starts a graceful stop. Thread-safe.
    void stop_gracefully();
    /// Blocks until a graceful stop has ended.
    void wait_stopped();

    [[nodiscard]] daemon::metrics& counters() { return m_counters; }

private:
    void serve(daemon::tcp::socket socket);
    [[nodiscard]] bool is_ready() const;
    page readiness_page();
    page metrics_page(std::string_view target);
    page peer_page(std::string_view target, std::string_view body);
    [[nodiscard]] bool needs_restart(const settings& loaded) const;
    bool should_close_sessions(instant now);
    void close_idle_sessions(session_end reason);
    void run_isolation_check();
    void run_key_check();
    void run_log_flush();
    void run_stop();
    void close_listeners();
    void log_readiness_change();

    settings m_settings;
    daemon::metrics m_counters;
    daemon::worker m_home;
    fleet_state m_fleet;
    record_mirror m_mirror;
    store_sync m_sync;
    peer_sync m_peers;
    granter_keeper m_granters;
    record_follower m_follower;
    failover_agent m_failover;
    mark_exchange m_marks;
    limit_exchange m_limits;
    statement_router m_router;
    gateway_client m_gateway_client;
    gateway_server m_gateway_server;
    statement_dispatcher m_dispatcher;
    status_pages m_readiness;
    status_pages m_metrics;
    status_pages m_peer_pages;
    connection_listener m_listener;
    std::set<std::shared_ptr<session>> m_sessions;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_stopped = false;
    bool m_was_ready = false;
    std::optional<instant> m_unconfirmed_since;
};

}  // namespace jasminelead::proxy
