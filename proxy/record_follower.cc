#include "proxy/record_follower.h"

#include <boost/fiber/operations.hpp>

#include "jasminelead/store_reader.h"
#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// Long poll: a reader answers at once when it has changes, and otherwise after this time.
constexpr duration max_hold = 250_ms;
constexpr duration answer_timeout = 200_ms;
constexpr duration idle_poll = 200_ms;
// When no reader has answered, the store is read directly for this long.
constexpr duration direct_read_time = 1_s;
constexpr duration max_idle_time = 1_s;
constexpr std::size_t max_idle_connections = 1;
// A reader whose lease was confirmed longer ago adds nothing to the answers of other peers.
constexpr duration max_lease_age = 1_s;
// A reader that the store answers has confirmed its records more recently than this.
constexpr duration max_confirmed_age = 800_ms;

}  // namespace

record_follower::record_follower(fleet_state& fleet, store_sync& sync, daemon::metrics& counters)
    : m_fleet{fleet},
      m_sync{sync},
      m_counters{counters},
      m_pool{fleet.home().io(), max_idle_connections, max_idle_time} {}

void record_follower::start() {
    m_fleet.home().spawn([this] { run(); });
}

void record_follower::run() {
    while (!m_stopped) {
        // Copied, because the readers may change while a request is in progress.
        const std::vector<host_id> readers = m_fleet.store_readers();
        if (readers.empty() || !m_sync.can_follow_reader()) {
            set_reader(host_id{});
            boost::this_fiber::sleep_until(to_steady(boot_now() + idle_poll));
        } else if (!follow(readers)) {
            set_reader(host_id{});
            boost::this_fiber::sleep_until(to_steady(boot_now() + direct_read_time));
        }
    }
}

bool record_follower::follow(const std::vector<host_id>& readers) {
    for (const host_id& reader : readers) {
        if (query_reader(reader)) {
            set_reader(reader);
            return true;
        }
    }
    return false;
}

bool record_follower::query_reader(const host_id& reader) {
    const auto& hosts = m_sync.records().hosts();
    const auto found = hosts.find(reader);
    if (found == hosts.end()) {
        return false;
    }
    const std::string address = found->second.peer_address;
    const host_record& own = m_sync.own_record();
    peer_request request;
    request.host = own.host;
    request.incarnation = own.incarnation;
    request.era = m_fleet.lease.era();
    request.known = m_sync.complete_up_to();
    request.unreachable = own.unreachable;
    request.stopped_use = m_sync.stopped_use();
    request.hold = max_hold;
    const std::string body = encode_peer_request(request);
    const instant sent = boot_now();
    daemon::http_call call;
    call.address = address;
    call.target = "/peer/exchange";
    call.body = body;
    call.deadline = to_steady(sent + max_hold + answer_timeout);
    call.connect_deadline = to_steady(sent + answer_timeout);
    const auto result = m_pool.call(call);
    const auto* const response = std::get_if<daemon::http_response>(&result);
    const bool ok = response != nullptr && response->status == 200;
    const auto answer = ok ? decode_peer_response(response->body) : std::nullopt;
    const bool applied = answer && apply(*answer, sent);
    m_counters.count("reader_answers", applied ? "used" : "unusable");
    return applied;
}

/// The reader's lease confirmation is valid for this host only if the reader knows this host as
/// registered, because a daemon that replaces a primary waits for registered hosts only.
bool record_follower::apply(const peer_response& answer, instant sent) {
    const instant answered = sent + answer.held;
    const bool is_proven = answer.knows_sender && answer.lease_age &&
                           *answer.lease_age < max_lease_age && answer.complete_up_to > 0;
    if (!is_proven) {
        return false;
    }
    for (const platform::store_change& change : answer.changes) {
        m_sync.records().apply(change);
    }
    m_fleet.lease.advance_era(answer.era);
    if (answer.era != m_fleet.lease.era()) {
        // The reader confirms records that the store has lost. It will read the new ones soon: if
        // all its followers read the store meanwhile, they would exceed the store's rate limit.
        return true;
    }
    const bool by_store = answer.confirmed_age && *answer.confirmed_age < max_confirmed_age;
    m_sync.on_reader_answer(
        answer.complete_up_to, answered - *answer.lease_age,
        by_store ? std::optional{answered - *answer.confirmed_age} : std::nullopt);
    return true;
}

void record_follower::set_reader(const host_id& reader) {
    if (reader == m_reader) {
        return;
    }
    m_reader = reader;
    log_line{log_class::change, "store_reader"}
        .with("reader", reader)
        .with_revision("complete_up_to", m_sync.complete_up_to())
        .with("confirmed_age_ms", m_sync.confirmed_age(boot_now()))
        .write();
}

}  // namespace jasminelead::proxy
