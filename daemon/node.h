#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "address_book.h"
#include "caller_listener.h"
#include "caller_worker.h"
#include "endpoint_client.h"
#include "metrics.h"
#include "operator_routes.h"
#include "peer_links.h"
#include "settings.h"
#include "store_client.h"
#include "synchronized_kernel.h"
#include "wakeup_timer.h"
#include "worker.h"

namespace jasminelead::daemon {

/// A running daemon: the kernel with its workers and adapters.
class node {
public:
    node(const settings& options, std::unique_ptr<core_kernel> kernel);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;

    /// Starts listening. Returns an error text when the listen address cannot be used.
    std::optional<std::string> start();
    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }
    [[nodiscard]] metrics& counters() { return m_metrics; }
    [[nodiscard]] worker& first_worker() { return *m_worker_adapters.front()->io_worker; }
    /// Total number of wake-ups of all worker threads.
    [[nodiscard]] std::uint64_t wakeups() const;

    /// Starts a graceful shutdown. Thread-safe; repeated calls have no effect.
    void drain();
    /// Waits until the drain has finished and all responses are written. Returns false on timeout.
    bool wait_drained(std::chrono::milliseconds timeout);
    /// Blocks until a drain is requested.
    void wait_for_drain_request();
    /// Closes all connections and joins the worker threads.
    void stop();

private:
    /// A worker and the adapters that run on its thread.
    struct worker_adapters {
        worker_adapters(node& owner, unsigned index);
        std::unique_ptr<worker> io_worker;
        caller_worker callers;
        peer_links peers;
        endpoint_client endpoints;
    };

    event_sink events();
    void execute_action(action&& item);
    void accept(unsigned index, tcp::socket socket);
    void adopt_peer(const host_id& from, int descriptor, bool is_v6, std::string received);
    template <class Id>
    worker_adapters& adapters_for(const Id& id);
    template <class Function>
    void post(worker_adapters& target, Function&& function);

    settings m_settings;
    metrics m_metrics;
    address_book m_addresses;
    synchronized_kernel m_kernel;
    operator_routes m_routes;
    caller_shared_state m_callers;
    std::vector<std::unique_ptr<worker_adapters>> m_worker_adapters;
    store_client m_store;
    wakeup_timer m_wakeup;
    caller_listener m_listener;
    std::mutex m_drain_lock;
    std::condition_variable m_drain_changed;
    bool m_drain_requested = false;
    bool m_drain_finished = false;
    bool m_stopped = false;
};

}  // namespace jasminelead::daemon
