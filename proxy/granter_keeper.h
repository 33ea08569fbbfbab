#pragma once

#include "proxy/fleet_state.h"
#include "proxy/store_sync.h"

namespace jasminelead::proxy {

/// Keeps the store's record of the lease granters in line with the registered hosts. Runs on the
/// hosts that read the store, in a fiber of its own.
class granter_keeper {
public:
    granter_keeper(fleet_state& fleet, store_sync& sync);

    void start();
    void stop() { m_stopped = true; }

private:
    void run();
    void update();
    [[nodiscard]] std::set<host_id> wanted_granters(instant now) const;

    fleet_state& m_fleet;
    store_sync& m_sync;
    bool m_stopped = false;
};

}  // namespace jasminelead::proxy
