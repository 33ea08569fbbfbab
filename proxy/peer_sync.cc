#include "proxy/peer_sync.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "jasminelead/lease_granters.h"
#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// More than one confirmation by the store has failed.
constexpr duration store_stale_after = 800_ms;
// Confirmations reach a host that follows a reader with a delay.
constexpr duration follower_stale_after = 1100_ms;
constexpr duration round_interval = 200_ms;
constexpr duration answer_timeout = 180_ms;
constexpr duration max_hold = 500_ms;
constexpr duration peer_reachability_lifetime = 2_s;
constexpr duration cleanup_interval = 500_ms;
constexpr duration removal_timeout = 1_s;
// Rounds without a confirmation after which the host counts as unconfirmed.
constexpr std::uint32_t min_unconfirmed_rounds = 2;
constexpr std::size_t max_idle_connections = 2;

}  // namespace

peer_sync::peer_sync(fleet_state& fleet, store_sync& sync, daemon::metrics& counters,
                     const settings& options)
    : m_fleet{fleet},
      m_sync{sync},
      m_counters{counters},
      m_self{options.host},
      m_own_addresses{options.peer, advertised_peer_address(options)},
      m_pool{fleet.home().io(), max_idle_connections},
      m_answered{fleet.home().io()} {
    set_seeds(options.seeds);
}

void peer_sync::set_seeds(const std::vector<std::string>& seeds) {
    m_seeds = seeds;
    std::erase_if(m_seeds, [this](const auto& seed) { return m_own_addresses.contains(seed); });
}

void peer_sync::start() {
    m_fleet.home().spawn([this] { run(); });
    m_fleet.home().spawn([this] { run_cleanup(); });
}

void peer_sync::run() {
    while (!m_stopped) {
        const instant started = boot_now();
        if (needs_peers(started)) {
            query_peers();
        } else {
            m_was_confirmed_by_peers = false;
            m_unconfirmed_rounds = 0;
            m_last_contact = {};
        }
        boost::this_fiber::sleep_until(to_steady(started + round_interval));
    }
}

/// A reader forwards its lease confirmations to its followers, whether they come from the store or
/// from peers.
bool peer_sync::needs_peers(instant now) const {
    if (m_sync.is_following(now)) {
        return m_fleet.lease.age(now) > follower_stale_after;
    }
    return m_sync.confirmed_age(now) > store_stale_after || !m_sync.is_store_answering(now);
}

/// Removes the registrations of hosts that are permanently lost. A host that runs but was cut off
/// registers again, and has no lease until then.
void peer_sync::run_cleanup() {
    while (!m_stopped) {
        boost::this_fiber::sleep_until(to_steady(boot_now() + cleanup_interval));
        const bool is_reader = m_fleet.store_readers().empty();
        if (is_reader && m_sync.confirmed_age(boot_now()) < store_stale_after) {
            remove_lost_hosts();
        } else {
            m_lost_since.clear();
        }
    }
}

void peer_sync::remove_lost_hosts() {
    const instant now = boot_now();
    const host_liveness& liveness = m_sync.records().liveness();
    std::map<host_id, std::string> lost;  // Peer addresses by host.
    for (const auto& [host, record] : m_sync.records().hosts()) {
        if (host != m_self && liveness.is_registered(host) && !liveness.is_live(host, now)) {
            lost.emplace(host, record.peer_address);
        }
    }
    std::erase_if(m_lost_since, [&](const auto& item) { return !lost.contains(item.first); });
    const std::size_t live = m_sync.records().live_count(now);
    const std::size_t registered = m_sync.records().registered_count();
    for (const auto& [host, address] : lost) {
        const instant since = m_lost_since.emplace(host, now).first->second;
        if (!may_remove_host(live, registered, now - since) || is_answering(address)) {
            continue;
        }
        platform::store_transaction transaction;
        transaction.deletions.push_back(host_key(host));
        const auto result =
            m_sync.store().commit(transaction, to_steady(boot_now() + removal_timeout));
        log_line{log_class::change, "host_removed"}
            .with("host", host)
            .with("lost_ms", now - since)
            .with("outcome", platform::to_string(result.fault))
            .write();
    }
}

bool peer_sync::is_answering(const std::string& address) {
    daemon::http_call call;
    call.address = address;
    call.method = "GET";
    call.target = "/peer/ping";
    call.deadline = to_steady(boot_now() + answer_timeout);
    const auto result = m_pool.call(call);
    const auto* const response = std::get_if<daemon::http_response>(&result);
    return response != nullptr && response->status == 200;
}

bool peer_sync::is_unconfirmed(instant now) const {
    return m_unconfirmed_rounds >= min_unconfirmed_rounds && needs_peers(now);
}

bool peer_sync::is_isolated(instant now) const {
    return needs_peers(now) && is_host_isolated(m_last_contact);
}

/// A host whose registration was removed cannot mark a primary, and is not asked.
std::vector<peer_sync::peer> peer_sync::all_peers() const {
    std::vector<peer> peers;
    for (const auto& [host, record] : m_sync.records().hosts()) {
        if (host != m_self && m_sync.records().liveness().is_registered(host)) {
            peers.push_back({host, record.peer_address});
        }
    }
    if (peers.empty()) {
        for (const std::string& seed : m_seeds) {
            peers.push_back({host_id{}, seed});
        }
    }
    return peers;
}

/// Load pattern: a store outage in a large fleet. Requests from each host to all others would
/// saturate the CPUs, so only readers query all hosts, and the other hosts query the readers.
std::vector<peer_sync::peer> peer_sync::reader_peers() const {
    std::vector<peer> peers;
    const auto& hosts = m_sync.records().hosts();
    for (const host_id& reader : m_fleet.all_readers()) {
        const auto found = hosts.find(reader);
        if (found != hosts.end() && reader != m_self) {
            peers.push_back({reader, found->second.peer_address});
        }
    }
    return peers;
}

peer_request peer_sync::make_peer_request() const {
    const host_record& own = m_sync.own_record();
    peer_request request;
    request.host = m_self;
    request.incarnation = own.incarnation;
    request.era = m_fleet.lease.era();
    request.known = m_sync.records().revision();
    request.unreachable = own.unreachable;
    request.stopped_use = m_sync.stopped_use();
    return request;
}

void peer_sync::query_peers() {
    const bool is_reader = m_fleet.store_readers().empty();
    const auto peers = is_reader ? all_peers() : reader_peers();
    const bool knows_fleet = is_reader && !m_sync.records().hosts().empty();
    const auto current = std::make_shared<round>();
    current->sent = boot_now();
    current->pending = peers.size();
    current->granted_by.insert(m_self);
    for (const peer& asked : peers) {
        m_fleet.home().spawn([this, asked, current] { query_peer(asked, current); });
    }
    const steady_time deadline = to_steady(current->sent + answer_timeout);
    while (current->pending > 0 && m_answered.wait(deadline)) {
    }
    const bool is_confirmed_by_peers =
        knows_fleet && !m_is_replacing &&
        (can_confirm_leases_without_store(current->confirmed_by + 1, peers.size() + 1,
                                          m_sync.confirmed_age(boot_now()),
                                          m_fleet.lease.length()) ||
         is_granted(*current));
    if (is_confirmed_by_peers) {
        m_fleet.lease.confirm(current->sent);
        m_fleet.changed.notify_all();
    }
    m_unconfirmed_rounds =
        current->recently_confirmed > 0 || is_confirmed_by_peers ? 0 : m_unconfirmed_rounds + 1;
    m_last_contact = {m_sync.is_store_answering(boot_now()), peers.size(), current->answered};
    const bool became_unconfirmed = m_unconfirmed_rounds == min_unconfirmed_rounds;
    if (is_confirmed_by_peers != m_was_confirmed_by_peers || became_unconfirmed) {
        m_was_confirmed_by_peers = is_confirmed_by_peers;
        log_line{log_class::change, "lease_from_peers"}
            .with("vouched", std::uint64_t{current->confirmed_by})
            .with("granted", std::uint64_t{current->granted_by.size()})
            .with("not_granted_by", missing_granters(*current))
            .with("asked", std::uint64_t{peers.size()})
            .with("store_age_ms", m_sync.confirmed_age(boot_now()))
            .with("lease_age_ms", m_fleet.lease.age(boot_now()))
            .write();
    }
}

/// Granters that did not answer in time or knew a newer record, separated by blanks.
std::string peer_sync::missing_granters(const round& current) const {
    std::string text;
    const auto& granters = m_sync.records().granters();
    for (const host_id& member : granters ? granters->members : std::set<host_id>{}) {
        if (!current.granted_by.contains(member)) {
            text.append(text.empty() ? "" : " ").append(member.str());
        }
    }
    return text;
}

/// Hosts of an earlier build replace a primary without asking the granters.
bool peer_sync::is_granted(const round& current) const {
    const auto& granters = m_sync.records().granters();
    if (!granters || !m_sync.records().do_all_hosts_ask_granters()) {
        return false;
    }
    return may_rely_on_grants(*granters, current.granted_by, m_sync.confirmed_age(boot_now()),
                              m_fleet.lease.length());
}

void peer_sync::query_peer(const peer& asked, const std::shared_ptr<round>& current) {
    const std::string request = encode_peer_request(make_peer_request());
    daemon::http_call call;
    call.address = asked.address;
    call.target = "/peer/exchange";
    call.body = request;
    call.deadline = to_steady(current->sent + answer_timeout);
    const auto result = m_pool.call(call);
    const auto* const response = std::get_if<daemon::http_response>(&result);
    const bool ok = response != nullptr && response->status == 200;
    const auto answer = ok ? decode_peer_response(response->body) : std::nullopt;
    m_counters.count("peer_answers", answer ? "received" : "missing");
    if (answer) {
        apply(*answer, asked.host, current);
    }
    --current->pending;
    m_answered.notify_all();
}

void peer_sync::apply(const peer_response& answer, const host_id& from,
                      const std::shared_ptr<round>& current) {
    for (const platform::store_change& change : answer.changes) {
        m_sync.records().apply(change);
    }
    m_fleet.lease.advance_era(answer.era);
    m_sync.acknowledge_changes();
    ++current->answered;
    // A host that does not know the present era confirms records that the store has lost.
    const bool knows_era = answer.era == m_fleet.lease.era();
    if (!answer.knows_sender || !answer.confirmed_age || !knows_era) {
        return;
    }
    current->confirmed_by += answer.is_replacing ? 0 : 1;
    if (!answer.is_replacing && knows_all_records_of(answer)) {
        current->granted_by.insert(from);
    }
    // The responder's confirmation covers its records, so it covers this host's only if they are
    // the same.
    if (knows_all_records_of(answer)) {
        current->recently_confirmed += apply_lease_age(answer, *current) ? 1 : 0;
    }
}

/// False if the responder knows a newer record, such as a mark, that its changes did not contain.
bool peer_sync::knows_all_records_of(const peer_response& answer) const {
    if (!answer.group_revisions) {
        return false;
    }
    return std::all_of(answer.group_revisions->begin(), answer.group_revisions->end(),
                       [this](const auto& item) {
                           const group_record* const known = m_fleet.lease.record(item.first);
                           return known != nullptr && known->revision >= item.second;
                       });
}

/// Confirms this host's lease with the responder's confirmation; true when that is recent.
bool peer_sync::apply_lease_age(const peer_response& answer, const round& current) {
    const bool is_reader = m_fleet.store_readers().empty();
    const duration age =
        is_reader ? *answer.confirmed_age
                  : std::min(*answer.confirmed_age, answer.lease_age.value_or(duration::max()));
    m_sync.confirm_lease(current.sent - age);
    return age < store_stale_after;
}

/// Suspends the fiber until there are changes that the sender does not know, or the hold time ends.
void peer_sync::hold(const peer_request& request, instant received_at) {
    const instant end = received_at + std::min(request.hold, max_hold);
    while (boot_now() < end && m_sync.complete_up_to() <= request.known) {
        m_fleet.changed.wait(to_steady(end));
    }
}

std::optional<std::string> peer_sync::answer(std::string_view text) {
    const auto request = decode_peer_request(text);
    if (!request) {
        return std::nullopt;
    }
    m_fleet.lease.advance_era(request->era);
    m_peer_reachability[request->host] = {boot_now(), request->unreachable};
    for (const auto& [group, revision] : request->stopped_use) {
        m_sync.records().record_stopped_use(group, request->host, revision);
    }
    const instant received_at = boot_now();
    hold(*request, received_at);
    peer_response reply;
    reply.era = m_fleet.lease.era();
    reply.held = boot_now() - received_at;
    reply.complete_up_to = m_sync.complete_up_to();
    const duration lease_age = m_fleet.lease.age(boot_now());
    if (lease_age < duration::max()) {
        reply.lease_age = lease_age;
    }
    reply.knows_sender = m_sync.is_host_known(request->host, request->incarnation);
    reply.is_replacing = m_is_replacing;
    const duration age = m_sync.confirmed_age(boot_now());
    if (age < duration::max()) {
        reply.confirmed_age = age;
    }
    reply.changes = m_sync.records().changes_since(request->known);
    if (request->hold == duration{}) {
        reply.group_revisions.emplace();
        for (const auto& [group, record] : m_fleet.lease.records()) {
            (*reply.group_revisions)[group] = record.revision;
        }
    }
    return encode_peer_response(reply);
}

const std::set<endpoint_id>* peer_sync::endpoints_unreachable_from(const host_id& host) const {
    const auto found = m_peer_reachability.find(host);
    const bool is_recent = found != m_peer_reachability.end() &&
                           found->second.at + peer_reachability_lifetime > boot_now();
    return is_recent ? &found->second.unreachable : nullptr;
}

std::set<endpoint_id> peer_sync::reported_unreachable() const {
    std::set<endpoint_id> reported = m_sync.records().reported_unreachable();
    for (const auto& [host, report] : m_peer_reachability) {
        if (const auto* const recent = endpoints_unreachable_from(host)) {
            reported.insert(recent->begin(), recent->end());
        }
    }
    return reported;
}

}  // namespace jasminelead::proxy
