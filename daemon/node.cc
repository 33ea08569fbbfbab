#include "node.h"

#include <chrono>
#include <functional>
#include <thread>
#include <utility>

#include "log.h"

namespace jasminelead::daemon {
namespace {

// Connections accepted above max_client_connections, for peer links and operator paths only.
constexpr std::size_t reserved_connections = 256;
constexpr std::chrono::milliseconds drain_poll_interval{10};

template <class... Functions>
struct overloaded_visitor : Functions... {
    using Functions::operator()...;
};
template <class... Functions>
overloaded_visitor(Functions...) -> overloaded_visitor<Functions...>;

std::vector<worker*> workers_of(const auto& adapters) {
    std::vector<worker*> workers;
    for (const auto& item : adapters) {
        workers.push_back(item->io_worker.get());
    }
    return workers;
}

}  // namespace

node::worker_adapters::worker_adapters(node& owner, unsigned index)
    : io_worker{std::make_unique<worker>()},
      callers{*io_worker, owner.m_callers, index},
      peers{*io_worker, owner.m_settings.host, owner.m_addresses, owner.events(),
            [&owner](std::string_view counter, std::string_view label) {
                owner.m_metrics.count(counter, label);
            }},
      endpoints{*io_worker, owner.m_addresses, owner.events()} {}

node::node(const settings& options, std::unique_ptr<core_kernel> kernel)
    : m_settings{options},
      m_kernel{std::move(kernel), [this](action&& item) { execute_action(std::move(item)); },
               [this](instant at) { m_wakeup.arm(at); }},
      m_routes{m_kernel, m_metrics, [this] { drain(); }},
      m_callers{events(), m_metrics, m_routes,
                [this](const host_id& from, int descriptor, bool is_v6, std::string received) {
                    adopt_peer(from, descriptor, is_v6, std::move(received));
                }},
      m_worker_adapters{[this] {
          std::vector<std::unique_ptr<worker_adapters>> adapters;
          for (unsigned index = 0; index < m_settings.workers; ++index) {
              adapters.push_back(std::make_unique<worker_adapters>(*this, index));
          }
          return adapters;
      }()},
      m_store{first_worker(), m_settings.store, m_addresses, events()},
      m_wakeup{first_worker(), [this] { m_kernel.submit(tick{}); }},
      m_listener{workers_of(m_worker_adapters),
                 [this](unsigned index, tcp::socket socket) { accept(index, std::move(socket)); }} {
}

node::~node() {
    stop();
}

event_sink node::events() {
    return [this](std::span<event> inputs) { m_kernel.submit(inputs); };
}

std::optional<std::string> node::start() {
    if (auto fault = m_listener.listen(m_settings.listen)) {
        return fault;
    }
    first_worker().post([this] { m_store.start(); });
    // The first tick makes the kernel schedule its next wake-up.
    m_kernel.submit(tick{});
    return std::nullopt;
}

std::uint64_t node::wakeups() const {
    std::uint64_t total = 0;
    for (const auto& item : m_worker_adapters) {
        total += item->io_worker->wakeups();
    }
    return total;
}

// ---- Actions -----------------------------------------------------------------------------------

template <class Id>
node::worker_adapters& node::adapters_for(const Id& id) {
    return *m_worker_adapters[std::hash<Id>{}(id) % m_worker_adapters.size()];
}

template <class Function>
void node::post(worker_adapters& target, Function&& function) {
    target.io_worker->post(std::forward<Function>(function));
}

/// Called with the dispatch lock held, so it must not block: it only posts work to the workers.
void node::execute_action(action&& item) {
    std::visit(
        overloaded_visitor{
            [this](caller_reply&& a) {
                worker_adapters& target = *m_worker_adapters[caller_worker::worker_index_of(a.id) %
                                                             m_worker_adapters.size()];
                post(target, [&target, a = std::move(a)] { target.callers.deliver(a); });
            },
            [this](send_peer&& a) {
                worker_adapters& target = adapters_for(a.to);
                post(target, [&target, a = std::move(a)] { target.peers.send(a); });
            },
            [this](open_connection&& a) {
                worker_adapters& target = adapters_for(a.endpoint);
                post(target, [&target, a = std::move(a)] { target.endpoints.open(a); });
            },
            [this](close_connection&& a) {
                worker_adapters& target = adapters_for(a.endpoint);
                post(target, [&target, a = std::move(a)] { target.endpoints.close(a); });
            },
            [this](run_statement&& a) {
                worker_adapters& target = adapters_for(a.endpoint);
                post(target,
                     [&target, a = std::move(a)]() mutable { target.endpoints.run(std::move(a)); });
            },
            [this](control_call&& a) {
                worker_adapters& target = adapters_for(a.endpoint);
                post(target, [&target, a = std::move(a)]() mutable {
                    target.endpoints.call(std::move(a));
                });
            },
            [this](store_call&& a) {
                first_worker().post(
                    [this, a = std::move(a)]() mutable { m_store.call(std::move(a)); });
            },
            [](log_state&& a) { log_info(a.text); },
            [this](count&& a) { m_metrics.count(a.counter, a.label); },
            [this](drain_finished&&) {
                const std::lock_guard lock{m_drain_lock};
                m_drain_finished = true;
                m_drain_changed.notify_all();
            },
        },
        std::move(item));
}

// ---- Connections -------------------------------------------------------------------------------

void node::accept(unsigned index, tcp::socket socket) {
    const std::size_t open = m_callers.connections.load();
    const std::size_t limit = m_settings.max_client_connections;
    if (open >= limit + reserved_connections) {
        m_metrics.count("refused", to_string(reason::connection_limit));
        return;
    }
    m_worker_adapters[index]->callers.add(std::move(socket), open >= limit);
}

void node::adopt_peer(const host_id& from, int descriptor, bool is_v6, std::string received) {
    worker_adapters& target = adapters_for(from);
    post(target, [&target, from, descriptor, is_v6, received = std::move(received)] {
        boost::system::error_code error;
        tcp::socket socket{target.io_worker->io()};
        socket.assign(is_v6 ? tcp::v6() : tcp::v4(), descriptor, error);
        if (!error) {
            target.peers.adopt(from, std::move(socket), received);
        }
    });
}

// ---- Shutdown ----------------------------------------------------------------------------------

void node::drain() {
    {
        const std::lock_guard lock{m_drain_lock};
        if (std::exchange(m_drain_requested, true)) {
            return;
        }
    }
    log_info("draining");
    m_routes.set_draining();
    m_callers.draining = true;
    first_worker().post([this] { m_listener.close(); });
    m_kernel.submit(drain_requested{});
    m_drain_changed.notify_all();
}

void node::wait_for_drain_request() {
    std::unique_lock lock{m_drain_lock};
    m_drain_changed.wait(lock, [this] { return m_drain_requested; });
}

bool node::wait_drained(std::chrono::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::unique_lock lock{m_drain_lock};
    const bool finished =
        m_drain_changed.wait_until(lock, deadline, [this] { return m_drain_finished; });
    while (finished && m_callers.unanswered.load() > 0) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(drain_poll_interval);
    }
    return finished;
}

void node::stop() {
    if (std::exchange(m_stopped, true)) {
        return;
    }
    first_worker().post([this] {
        m_listener.close();
        m_store.stop();
        m_wakeup.close();
    });
    for (const auto& item : m_worker_adapters) {
        item->io_worker->post([&target = *item] {
            target.callers.stop();
            target.peers.stop();
            target.endpoints.stop();
        });
    }
    for (const auto& item : m_worker_adapters) {
        item->io_worker->stop();
    }
}

}  // namespace jasminelead::daemon
