#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/http_pool.h"
#include "daemon/metrics.h"
#include "proxy/fleet_state.h"
#include "proxy/peer_messages.h"
#include "proxy/settings.h"
#include "proxy/store_sync.h"

namespace jasminelead::proxy {

/// Asks the other daemons for records and for the lease of primaries while the store does not
/// answer this one.
class peer_sync {
public:
    peer_sync(fleet_state& fleet, store_sync& sync, daemon::metrics& counters,
              const settings& options);

    void start();
    /// While this daemon replaces a primary, the others' words do not confirm its own leases.
    void set_replacing(bool is_replacing) { m_is_replacing = is_replacing; }
    void set_seeds(const std::vector<std::string>& seeds);
    void stop() {
        m_stopped = true;
        m_pool.close();
    }

    /// Answers another daemon; nothing when the request cannot be read.
    std::optional<std::string> answer(std::string_view request);
    /// True while neither the store nor all other hosts vouch for this daemon's records, so that
    /// it can use no primary.
    [[nodiscard]] bool is_unconfirmed(instant now) const;
    /// True when, besides, most other hosts do not answer, so that callers are better off there.
    [[nodiscard]] bool is_isolated(instant now) const;
    /// Endpoints that a host said it cannot reach, when it could not tell the store.
    [[nodiscard]] const std::set<endpoint_id>* endpoints_unreachable_from(
        const host_id& host) const;
    /// Endpoints that some host cannot reach, as the registrations and the peers say.
    [[nodiscard]] std::set<endpoint_id> reported_unreachable() const;

private:
    /// The answers to one round of questions.
    struct round {
        instant sent;
        std::size_t pending = 0;
        std::size_t answered = 0;
        std::size_t confirmed_by = 0;        ///< Hosts that replace no primary.
        std::size_t recently_confirmed = 0;  ///< Hosts that the store answers.
    };
    struct peer_reachability {
        instant at;
        std::set<endpoint_id> unreachable;
    };

    void run();
    [[nodiscard]] bool needs_peers(instant now) const;
    void hold(const peer_request& request, instant asked);
    void run_cleanup();
    void remove_lost_hosts();
    bool is_answering(const std::string& address);
    void query_peers();
    void query_peer(const std::string& address, const std::shared_ptr<round>& current);
    void apply(const peer_response& answer, const std::shared_ptr<round>& current);
    std::vector<std::string> peer_addresses() const;
    std::vector<std::string> reader_addresses() const;
    bool apply_lease_age(const peer_response& answer, const round& current);
    peer_request make_peer_request() const;

    fleet_state& m_fleet;
    store_sync& m_sync;
    daemon::metrics& m_counters;
    host_id m_self;
    std::string m_own_address;
    std::vector<std::string> m_seeds;
    daemon::http_pool m_pool;
    wait_list m_answered;
    std::map<host_id, instant> m_lost_since;  ///< Registered hosts without a lease.
    std::map<host_id, peer_reachability> m_peer_reachability;
    std::uint32_t m_unconfirmed_rounds = 0;  ///< Rounds that confirmed nothing.
    bool m_most_peers_silent = false;        ///< In the last round.
    bool m_is_replacing = false;
    bool m_was_confirmed_by_peers = false;
    bool m_stopped = false;
};

}  // namespace jasminelead::proxy
