#include "jasminelead/host_liveness.h"

#include <algorithm>

namespace jasminelead {
namespace {

using namespace literals;

// A lease may expire early by mistake and is then granted again.
constexpr duration lease_grace = 300_ms;
// After a partition a host needs this time to find out which endpoints it can reach.
constexpr duration vote_delay = 1_s;
constexpr duration registration_grace = 1500_ms;

}  // namespace

const host_liveness::entry* host_liveness::find(const host_id& host) const {
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

void host_liveness::on_registered(const host_id& host, instant now) {
    entry& known = m_hosts[host];
    known.registered_at = now;
    known.removed.reset();
}

void host_liveness::on_removed(const host_id& host, instant now) {
    entry& known = m_hosts[host];
    if (!known.removed) {
        known.removed = now;
    }
}

void host_liveness::on_lease(const host_id& host, bool is_held, instant now) {
    entry& known = m_hosts[host];
    if (is_held && !known.holds_lease) {
        known.lease_since = now;
    }
    if (!is_held) {
        known.lease_ended = now;
    }
    known.holds_lease = is_held;
}

bool host_liveness::is_live(const entry& known, instant now) {
    const bool has_lease =
        known.holds_lease || (known.lease_ended && *known.lease_ended + lease_grace > now);
    return known.registered_at && (has_lease || *known.registered_at + registration_grace > now);
}

bool host_liveness::is_voting(const entry& known, instant now) {
    return is_live(known, now) && known.lease_since && *known.lease_since + vote_delay <= now;
}

bool host_liveness::is_registered(const host_id& host) const {
    const entry* const known = find(host);
    return known != nullptr && known->registered_at && !known->removed;
}

bool host_liveness::is_live(const host_id& host, instant now) const {
    const entry* const known = find(host);
    return known != nullptr && is_live(*known, now);
}

bool host_liveness::is_voting(const host_id& host, instant now) const {
    const entry* const known = find(host);
    return known != nullptr && is_voting(*known, now);
}

std::size_t host_liveness::voting_count(instant now) const {
    return static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(),
                      [now](const auto& item) { return is_voting(item.second, now); }));
}

std::vector<host_id> host_liveness::take_removed(duration after, instant now) {
    std::vector<host_id> taken;
    for (auto& [host, known] : m_hosts) {
        if (known.removed && *known.removed + after <= now) {
            known.registered_at.reset();
            known.removed.reset();
            taken.push_back(host);
        }
    }
    std::erase_if(m_hosts, [](const auto& item) {
        return !item.second.registered_at && !item.second.removed && !item.second.holds_lease;
    });
    return taken;
}

}  // namespace jasminelead
