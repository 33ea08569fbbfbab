#include "proxy/granter_keeper.h"

#include <boost/fiber/operations.hpp>
#include <utility>
#include <vector>

#include "jasminelead/lease_granters.h"
#include "proxy/clock.h"
#include "proxy/store_calls.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

constexpr duration check_interval = 1_s;

}  // namespace

granter_keeper::granter_keeper(fleet_state& fleet, store_sync& sync)
    : m_fleet{fleet}, m_sync{sync} {}

void granter_keeper::start() {
    m_fleet.home().spawn([this] { run(); });
}

void granter_keeper::run() {
    while (!m_stopped) {
        detail::pause(check_interval);
        const bool is_reader = m_fleet.store_readers().empty();
        if (is_reader && m_sync.can_replace_primaries(boot_now())) {
            update();
        }
    }
}

/// A host that restarts keeps its place: only hosts whose registration was removed are replaced.
std::set<host_id> granter_keeper::wanted_granters(instant now) const {
    const record_mirror& records = m_sync.records();
    std::vector<host_placement> hosts;
    for (const auto& [host, record] : records.hosts()) {
        const bool is_member = records.granters() && records.granters()->members.contains(host);
        const bool may_stay = is_member && records.liveness().is_registered(host);
        if (may_stay || records.liveness().is_voting(host, now)) {
            hosts.push_back({host, record.data_centre, record.cpu_share});
        }
    }
    return choose_granters(hosts);
}

void granter_keeper::update() {
    const instant now = boot_now();
    const auto known = m_sync.records().granters();
    if (!may_change_granters(known, m_sync.records().granters_known_for(now))) {
        return;
    }
    granter_set next{0, wanted_granters(now), known ? known->members : std::set<host_id>{}};
    if (next.members.empty() || (known && next.members == known->members)) {
        return;
    }
    platform::store_transaction transaction;
    transaction.conditions.push_back(
        {granters_key(), m_sync.records().stored_revision(granters_key())});
    transaction.updates.push_back({granters_key(), encode_granters(next), platform::no_lease});
    m_sync.store().commit(transaction, detail::call_deadline());
}

}  // namespace jasminelead::proxy
