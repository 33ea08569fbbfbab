#pragma once

#include <map>
#include <memory>
#include <utility>

#include "address_book.h"
#include "database_connection.h"
#include "event_sink.h"
#include "http_pool.h"
#include "worker.h"

namespace jasminelead::daemon {

/// Database connections and control calls of the endpoints that are assigned to one worker. All
/// functions run on the worker's thread.
class endpoint_client {
public:
    endpoint_client(worker& io_worker, const address_book& addresses, event_sink events);

    void open(open_connection request);
    void run(run_statement statement);
    void close(const close_connection& request);
    void call(control_call request);
    /// Closes all connections so that their fibers end.
    void stop();

private:
    using connection_key = std::pair<endpoint_id, connection_id>;
    std::variant<control_result, endpoint_error> perform(const control_call& request);

    worker& m_worker;
    const address_book& m_addresses;
    event_sink m_events;
    http_pool m_control;
    std::map<connection_key, std::shared_ptr<database_connection>> m_connections;
    bool m_stopped = false;
};

}  // namespace jasminelead::daemon
