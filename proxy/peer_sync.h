#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/http_pool.h"
#include "daemon/metrics.h"
#include "jasminelead/fleet_quorum.h"
#include "proxy/fleet_state.h"
#include "proxy/peer_messages.h"
#include "proxy/settings.h"
#include "proxy/store_sync.h"

namespace jasminelead::proxy {

/// Requests records and lease confirmations from the other daemons while the store does not answer
/// this one.
class peer_sync {
public:
    peer_sync(fleet_state& fleet, store_sync& sync, daemon::metrics& counters,
              const settings& options);

    void start();
    /// While this daemon replaces a primary, answers of peers do not confirm its own lease.
    void set_replacing(bool is_replacing) { m_is_replacing = is_replacing; }
    void set_seeds(const std::vector<std::string>& seeds);
    void stop() {
        m_stopped = true;
        m_pool.close();
    }

    /// Response to another daemon's request; empty when the request is malformed. May suspend the
    /// fiber until there are changes.
    std::optional<std::string> answer(std::string_view request);
    /// True while neither the store nor the peers confirm this daemon's records, so that it cannot
    /// use any primary.
    [[nodiscard]] bool is_unconfirmed(instant now) const;
    /// True when neither the store nor most peers answer, so that callers should use another host.
    /// May be true before `is_unconfirmed` is.
    [[nodiscard]] bool is_isolated(instant now) const;
    /// Endpoints that the host recently reported as unreachable in a request; null without a recent
    /// request.
    [[nodiscard]] const std::set<endpoint_id>* endpoints_unreachable_from(
        const host_id& host) const;
    /// Endpoints that at least one host reports as unreachable in its record or in requests.
    [[nodiscard]] std::set<endpoint_id> reported_unreachable() const;

private:
    /// Responses to one round of requests.
    struct round {
        instant sent;
        std::size_t pending = 0;
        std::size_t answered = 0;
        std::size_t confirmed_by = 0;  ///< Peers that confirm the lease: they replace no primary.
        /// Hosts that know no newer record of any group, this one included.
        std::set<host_id> granted_by;
        std::size_t recently_confirmed = 0;  ///< Peers whose confirmation is recent.
    };
    struct peer {
        host_id host;  ///< Empty for a seed.
        std::string address;
    };
    struct peer_reachability {
        instant at;
        std::set<endpoint_id> unreachable;
    };

    void run();
    [[nodiscard]] bool needs_peers(instant now) const;
    void hold(const peer_request& request, instant received_at);
    void run_cleanup();
    void remove_lost_hosts();
    bool is_answering(const std::string& address);
    void query_peers();
    void query_peer(const peer& asked, const std::shared_ptr<round>& current);
    void apply(const peer_response& answer, const host_id& from,
               const std::shared_ptr<round>& current);
    [[nodiscard]] bool knows_all_records_of(const peer_response& answer) const;
    [[nodiscard]] bool is_granted(const round& current) const;
    [[nodiscard]] std::string missing_granters(const round& current) const;
    std::vector<peer> all_peers() const;
    std::vector<peer> reader_peers() const;
    bool apply_lease_age(const peer_response& answer, const round& current);
    peer_request make_peer_request() const;

    fleet_state& m_fleet;
    store_sync& m_sync;
    daemon::metrics& m_counters;
    host_id m_self;
    std::set<std::string> m_own_addresses;  ///< Not contacted if listed as seeds.
    std::vector<std::string> m_seeds;
    daemon::http_pool m_pool;
    wait_list m_answered;
    std::map<host_id, instant> m_lost_since;  ///< Registered hosts without a lease.
    std::map<host_id, peer_reachability> m_peer_reachability;
    std::uint32_t m_unconfirmed_rounds = 0;  ///< Consecutive rounds without a confirmation.
    contact_round m_last_contact;
    bool m_is_replacing = false;
    bool m_was_confirmed_by_peers = false;
    bool m_stopped = false;
};

}  // namespace jasminelead::proxy
