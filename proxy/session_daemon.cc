#include "proxy/session_daemon.h"

#include <boost/fiber/operations.hpp>
#include <utility>
#include <vector>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

constexpr duration log_flush_interval = 100_ms;
// Shorter than the windows in which statements of accounts are compared with their limits.
constexpr duration usage_log_interval = 1_s;
constexpr duration isolation_check_interval = 20_ms;
constexpr duration key_check_interval = 100_ms;
constexpr std::size_t max_sessions_ended_at_once = 10;
constexpr duration stop_poll_interval = 20_ms;
// The load balancer removes a daemon after two failed probes, which are one second apart.
constexpr duration balancer_removal_time = 2200_ms;
// Fractions of the grace period after which idle sessions are closed, open transactions are rolled
// back and the remaining sessions are closed.
constexpr double idle_close_fraction = 0.4;
constexpr double transaction_end_fraction = 0.5;
constexpr double forced_close_fraction = 0.85;
// Between the refusal of waiting statements and the end of their sessions. Their answers are sent,
// and those of the statements that have just started.
constexpr duration refusal_margin = 200_ms;

}  // namespace

session_daemon::session_daemon(settings options)
    : m_settings{std::move(options)},
      m_fleet{m_home, {m_settings.host, m_settings.data_centre, m_settings.cpu_share}, m_counters},
      m_mirror{m_fleet, m_counters},
      m_sync{m_fleet, m_mirror, m_counters, m_settings},
      m_peers{m_fleet, m_sync, m_counters, m_settings},
      m_granters{m_fleet, m_sync},
      m_follower{m_fleet, m_sync, m_counters},
      m_failover{m_fleet, m_sync, m_peers, m_counters, m_settings},
      m_marks{m_fleet, m_mirror, m_counters},
      m_limits{m_fleet, m_sync, m_counters, m_settings},
      m_router{m_fleet, m_marks, m_limits, m_counters},
      m_gateway_client{m_fleet, m_mirror, m_counters},
      m_gateway_server{m_fleet, m_router, m_counters},
      m_dispatcher{m_fleet, m_router, m_gateway_client, m_limits, m_counters},
      m_readiness{m_home, [this](auto, auto) { return readiness_page(); }},
      m_metrics{m_home, [this](auto target, auto) { return metrics_page(target); }},
      m_peer_pages{m_home, [this](auto target, auto body) { return peer_page(target, body); }},
      m_listener{m_home, [this](daemon::tcp::socket socket) { serve(std::move(socket)); }} {}

session_daemon::~session_daemon() {
    stop_gracefully();
    wait_stopped();
    m_home.stop();
}

std::uint16_t session_daemon::port() const {
    return m_listener.port();
}

std::optional<std::string> session_daemon::start() {
    if (auto fault = m_listener.open(m_settings.listen)) {
        return fault;
    }
    if (auto fault = m_readiness.listen(m_settings.readiness)) {
        return fault;
    }
    if (auto fault = m_peer_pages.listen(m_settings.peer)) {
        return fault;
    }
    if (m_settings.metrics_port != 0) {
        const std::string address =
            m_settings.address + ":" + std::to_string(m_settings.metrics_port);
        if (auto fault = m_metrics.listen(address)) {
            return fault;
        }
    }
    m_fleet.trust = m_settings.trust;
    m_router.set_read_balance(m_settings.balance);
    m_fleet.config_age = [this](instant now) { return m_sync.confirmed_age(now); };
    m_home.post([this] {
        m_sync.start();
        m_peers.start();
        m_granters.start();
        m_follower.start();
        m_failover.start();
        m_marks.start();
        m_limits.start();
        m_gateway_client.start();
        m_gateway_server.start();
        m_listener.start();
        m_home.spawn([this] { run_log_flush(); });
        m_home.spawn([this] { run_key_check(); });
        m_home.spawn([this] { run_isolation_check(); });
    });
    return std::nullopt;
}

void session_daemon::serve(daemon::tcp::socket socket) {
    const auto accepted =
        std::make_shared<session>(m_fleet, m_dispatcher, m_counters, std::move(socket));
    m_sessions.insert(accepted);
    accepted->serve();
    m_sessions.erase(accepted);
}

bool session_daemon::is_ready() const {
    return !m_stopping && m_fleet.config.current() != nullptr &&
           m_fleet.trusts_accounts(boot_now()) && !m_peers.is_unconfirmed(boot_now()) &&
           !m_peers.is_isolated(boot_now());
}

page session_daemon::readiness_page() {
    log_readiness_change();
    const bool ready = is_ready();
    return {ready ? 200U : 503U, "text/plain", ready ? "ready\n" : "not ready\n"};
}

void session_daemon::log_readiness_change() {
    const bool ready = is_ready();
    if (ready != m_was_ready) {
        m_was_ready = ready;
        log_line{log_class::change, ready ? "ready" : "not_ready"}
            .with("config", m_fleet.config.version())
            .with("stopping", m_stopping ? "true" : "false")
            .write();
    }
}

page session_daemon::metrics_page(std::string_view target) {
    if (target != "/metrics") {
        return {404, "text/plain", "not found\n"};
    }
    return {200, "text/plain; version=0.0.4", m_counters.text()};
}

page session_daemon::peer_page(std::string_view target, std::string_view body) {
    if (target == "/peer/ping") {
        return {200, "text/plain", "running\n"};
    }
    std::optional<std::string> answer;
    if (target == "/peer/statement") {
        answer = m_gateway_server.answer(body);
    } else if (target == "/peer/exchange") {
        answer = m_peers.answer(body);
    } else if (target == "/peer/marks") {
        answer = m_marks.answer(body);
    } else if (target == "/peer/limit/take") {
        answer = m_limits.answer_take(body);
    } else if (target == "/peer/limit/loans") {
        answer = m_limits.answer_loans(body);
    } else {
        return {404, "text/plain", "not found\n"};
    }
    if (!answer) {
        return {400, "text/plain", "malformed peer request\n"};
    }
    return {200, "application/json", std::move(*answer)};
}

/// True when sessions should end so that their callers reconnect to another host. A host that most
/// peers do not answer is isolated and closes them at once. If most peers answer, the store may be
/// unavailable to all hosts, so that sessions only end after the load balancer had time to find a
/// host that is ready.
bool session_daemon::should_close_sessions(instant now) {
    if (m_peers.is_isolated(now)) {
        return true;
    }
    if (!m_peers.is_unconfirmed(now)) {
        m_unconfirmed_since.reset();
        return false;
    }
    if (!m_unconfirmed_since) {
        m_unconfirmed_since = now;
    }
    return *m_unconfirmed_since + balancer_removal_time <= now;
}

/// Load pattern: a host with many sessions ends them while their callers keep sending. Between the
/// check of a session and its end no statement may arrive, so that few are ended in a row.
void session_daemon::close_idle_sessions(session_end reason) {
    const std::vector<std::shared_ptr<session>> open{m_sessions.begin(), m_sessions.end()};
    std::size_t ended = 0;
    for (const auto& item : open) {
        item->close_after_answer();
        if (ended < max_sessions_ended_at_once) {
            ended += item->close_if_idle(reason) ? 1 : 0;
        }
    }
}

/// Ends the sessions of removed keys when a configuration arrives.
void session_daemon::run_key_check() {
    revision_number checked = 0;
    while (!m_stopping) {
        if (m_fleet.config.version() != checked) {
            checked = m_fleet.config.version();
            const std::vector<std::shared_ptr<session>> open{m_sessions.begin(), m_sessions.end()};
            for (const auto& item : open) {
                item->end_if_key_removed();
            }
        }
        boost::this_fiber::sleep_until(to_steady(boot_now() + key_check_interval));
    }
}

void session_daemon::run_isolation_check() {
    while (!m_stopping) {
        const instant now = boot_now();
        m_router.set_unconfirmed(m_peers.is_unconfirmed(now) || m_peers.is_isolated(now));
        if (should_close_sessions(now)) {
            close_idle_sessions(session_end::cut_off);
        }
        boost::this_fiber::sleep_until(to_steady(boot_now() + isolation_check_interval));
    }
}

void session_daemon::run_log_flush() {
    instant usage_logged = boot_now();
    while (!m_stopped) {
        const instant now = boot_now();
        if (usage_logged + usage_log_interval <= now) {
            usage_logged = now;
            m_router.usage().log_counts();
        }
        flush_log();
        boost::this_fiber::sleep_until(to_steady(boot_now() + log_flush_interval));
    }
}

void session_daemon::reload(const settings& loaded) {
    m_home.post([this, loaded] {
        m_settings.store = loaded.store;
        m_settings.promotion = loaded.promotion;
        m_settings.seeds = loaded.seeds;
        m_settings.stop_grace = loaded.stop_grace;
        m_settings.log_level = loaded.log_level;
        m_settings.trust = loaded.trust;
        m_fleet.trust = loaded.trust;
        m_router.set_read_balance(loaded.balance);
        m_sync.store().set_address(loaded.store);
        m_failover.set_promotion_address(loaded.promotion);
        m_peers.set_seeds(loaded.seeds);
        set_log_level(loaded.log_level);
        log_line{log_class::change, "settings_reloaded"}
            .with("store", loaded.store)
            .with("needs_restart", needs_restart(loaded) ? "true" : "false")
            .write();
    });
}

void session_daemon::log_settings_errors(const settings_errors& errors) {
    m_home.post([errors] {
        for (const std::string& error : errors) {
            log_line{log_class::change, "settings_refused"}.with("reason", error).write();
        }
    });
}

bool session_daemon::needs_restart(const settings& loaded) const {
    return loaded.host != m_settings.host || loaded.data_centre != m_settings.data_centre ||
           loaded.listen != m_settings.listen || loaded.readiness != m_settings.readiness ||
           loaded.peer != m_settings.peer ||
           advertised_peer_address(loaded) != advertised_peer_address(m_settings) ||
           loaded.metrics_port != m_settings.metrics_port;
}

void session_daemon::stop_gracefully() {
    m_home.post([this] {
        if (!m_stopping.exchange(true)) {
            m_home.spawn([this] { run_stop(); });
        }
    });
}

void session_daemon::run_stop() {
    const instant begun = boot_now();
    log_line{log_class::change, "stopping"}.with("sessions", m_sessions.size()).write();
    m_gateway_server.begin_stop();
    m_failover.begin_stop();
    log_readiness_change();
    const instant close_idle =
        begun + std::min(balancer_removal_time, m_settings.stop_grace * idle_close_fraction);
    const instant end_transactions = begun + m_settings.stop_grace * transaction_end_fraction;
    const instant end = begun + m_settings.stop_grace * forced_close_fraction;
    const instant end_waits = end - refusal_margin;
    m_router.end_waits_at(end_waits);
    const auto is_done = [&] {
        return boot_now() >= close_idle && m_sessions.empty() && m_gateway_server.is_idle() &&
               m_failover.is_idle();
    };
    while (boot_now() < end && !is_done()) {
        const instant now = boot_now();
        if (now >= end_transactions) {
            m_gateway_server.end_transactions();
            // A caller whose connection is refused has sent no statement and can use another host.
            m_listener.close();
        }
        const std::vector<std::shared_ptr<session>> open{m_sessions.begin(), m_sessions.end()};
        for (const auto& item : open) {
            if (now >= end_transactions) {
                item->end_transaction();
            }
        }
        if (now >= end_waits) {
            m_router.refuse_waiting();
        }
        if (now >= close_idle) {
            close_idle_sessions(session_end::stopping);
        }
        boost::this_fiber::sleep_until(to_steady(boot_now() + stop_poll_interval));
    }
    for (const auto& item : m_sessions) {
        item->abort(session_end::grace_period_expired);
    }
    m_failover.stop();
    if (!m_failover.is_idle()) {
        m_sync.announce_unfinished_replacements();
    }
    close_listeners();
    m_sync.stop();
    m_peers.stop();
    m_granters.stop();
    m_follower.stop();
    m_marks.stop();
    m_limits.stop();
    m_gateway_client.stop();
    m_gateway_server.stop();
    for (const auto& [endpoint, pool] : m_fleet.all_pools()) {
        // Ends the attempts to reach endpoints again, which would keep the process running.
        pool->retire();
    }
    log_line{log_class::change, "stopped"}
        .with("took_ms", boot_now() - begun)
        .with("sessions_left", m_sessions.size())
        .with("log_lines_dropped", dropped_lines())
        .write();
    flush_log();
    m_stopped = true;
    m_stopped.notify_all();
}

void session_daemon::close_listeners() {
    m_listener.close();
    m_readiness.stop();
    m_metrics.stop();
    m_peer_pages.stop();
}

void session_daemon::wait_stopped() {
    m_stopped.wait(false);
}

}  // namespace jasminelead::proxy
