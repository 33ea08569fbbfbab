#pragma once

#include "testbed.h"

/// Hosts and endpoints of a testbed. Included by its sources only.
namespace jasminelead::support {

struct testbed::host_node {
    host_entry entry;
    std::uint64_t index = 0;
    std::unique_ptr<kernel> core;
    /// Incremented at each start and stop; events of an earlier generation are dropped.
    std::uint64_t generation = 0;
    bool paused = false;
    bool drained = false;
    std::vector<event> inbox;
    std::optional<instant> wakeup;
    std::map<request_id, reply_handler> reply_handlers;
    std::map<host_id, std::set<call_id>> outstanding_calls;
    std::map<host_id, instant> last_received;
    std::set<host_id> timed_out_links;
    std::map<connection_id, endpoint_id> connections;
};

struct testbed::endpoint_node {
    endpoint_entry entry;
    std::unique_ptr<endpoint_model> model;
    bool up = true;
    bool silent = false;
    bool stalled = false;
    /// Statements that arrived during a stall.
    std::vector<std::function<void()>> stalled_statements;
    bool replication_stopped = false;
    /// Connections that run a statement. Closing a connection ends its statement.
    std::set<connection_id> running_statements;
    std::size_t peak_running = 0;
    struct client {
        host_id host;
        std::uint64_t generation = 0;
        connection_id connection = 0;
    };
    std::map<connection_id, client> clients;  ///< By connection_key.
    std::set<connection_id> silent_connections;
};

}  // namespace jasminelead::support
