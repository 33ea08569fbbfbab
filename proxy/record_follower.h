#pragma once

#include <optional>
#include <string>
#include <vector>

#include "daemon/http_pool.h"
#include "daemon/metrics.h"
#include "proxy/fleet_state.h"
#include "proxy/peer_messages.h"
#include "proxy/store_sync.h"

namespace jasminelead::proxy {

/// Receives records and their confirmation from a nearby host that reads the store (a reader).
/// While no reader answers, this host reads the store itself.
class record_follower {
public:
    record_follower(fleet_state& fleet, store_sync& sync, daemon::metrics& counters);

    void start();
    void stop() {
        m_stopped = true;
        m_pool.close();
    }

private:
    void run();
    bool follow(const std::vector<host_id>& readers);
    bool query_reader(const host_id& reader);
    bool apply(const peer_response& answer, instant sent);
    void set_reader(const host_id& reader);

    fleet_state& m_fleet;
    store_sync& m_sync;
    daemon::metrics& m_counters;
    daemon::http_pool m_pool;
    host_id m_reader;  ///< Reader that answered last; empty while this host reads the store.
    bool m_stopped = false;
};

}  // namespace jasminelead::proxy
