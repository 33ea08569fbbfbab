#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "caller_connection.h"
#include "event_sink.h"
#include "metrics.h"
#include "operator_routes.h"
#include "worker.h"

namespace jasminelead::daemon {

/// State shared by the callers of all workers.
struct caller_shared_state {
    event_sink events;
    metrics& counters;
    operator_routes& routes;
    /// Passes an upgraded connection to the peer links, which take ownership of the descriptor.
    std::function<void(host_id from, int descriptor, bool is_v6, std::string received)> adopt_peer;
    std::chrono::milliseconds slow_sender_timeout{10'000};
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> unanswered = 0;  ///< Requests whose response is not written yet.
    std::atomic<bool> draining = false;
};

/// The callers that are assigned to one worker. All functions except `worker_index_of` run on its
/// thread.
class caller_worker {
public:
    caller_worker(worker& io_worker, caller_shared_state& shared, unsigned index);

    /// Index of the worker that submitted the request.
    static unsigned worker_index_of(request_id id);

    void add(tcp::socket socket, bool over_limit);
    void deliver(const caller_reply& reply);
    /// Closes all connections so that their fibers end.
    void stop();

    // For the connections:
    [[nodiscard]] worker& io_worker() { return m_worker; }
    [[nodiscard]] caller_shared_state& shared() { return m_shared; }
    void submit(const std::shared_ptr<caller_connection>& from, std::uint64_t sequence,
                parsed_request request);
    void remove(const std::shared_ptr<caller_connection>& connection);

private:
    struct pending_request {
        std::weak_ptr<caller_connection> connection;
        std::uint64_t sequence = 0;
        std::string caller_id;
    };

    worker& m_worker;
    caller_shared_state& m_shared;
    request_id m_next_id;
    std::unordered_map<request_id, pending_request> m_pending_requests;
    std::unordered_set<std::shared_ptr<caller_connection>> m_connections;
    bool m_stopped = false;
};

}  // namespace jasminelead::daemon
