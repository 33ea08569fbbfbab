#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "jasminelead/membership.h"

namespace jasminelead {
namespace {

using namespace literals;

/// Unlisted hosts and endpoints are kept for this long, because a list may lag behind.
constexpr duration absence_timeout = 30_s;

}  // namespace

void membership::on_host_list(const host_list& list, instant now, action_list& /*out*/) {
    // The platform may serve an empty list after its restart, so an empty list removes no hosts.
    if (list.hosts.empty()) {
        return;
    }
    merge_hosts(list.hosts, now);
    remove_replaced_hosts(list.hosts);
    remove_absent_hosts(list.hosts, now);
    if (!list.endpoints.empty()) {
        merge_endpoints(list.endpoints, now);
    }
    update_fleet(now);
}

void membership::merge_hosts(const std::vector<host_entry>& hosts, instant now) {
    for (const host_entry& entry : hosts) {
        if (entry.id == m_context.self) {
            m_self = entry;
            continue;
        }
        member& item = find_or_add(entry.id, now);
        if (!item.entry) {
            item.first_seen = now;
        }
        item.entry = entry;
        item.absent_since.reset();
    }
}

/// Removes unlisted hosts whose address now belongs to a listed host.
void membership::remove_replaced_hosts(const std::vector<host_entry>& hosts) {
    std::set<std::string_view> addresses;
    std::set<host_id> listed;
    for (const host_entry& entry : hosts) {
        addresses.insert(entry.address);
        listed.insert(entry.id);
    }
    std::erase_if(m_members, [&](const auto& row) {
        const auto& [host, item] = row;
        const bool replaced =
            !listed.contains(host) && item.entry && addresses.contains(item.entry->address);
        if (replaced) {
            m_hosts_with_deadline.erase(host);
        }
        return replaced;
    });
}

void membership::remove_absent_hosts(const std::vector<host_entry>& hosts, instant now) {
    std::set<host_id> listed;
    for (const host_entry& entry : hosts) {
        listed.insert(entry.id);
    }
    for (auto& [host, item] : m_members) {
        if (!listed.contains(host)) {
            item.absent_since = item.absent_since.value_or(now);
        }
    }
    std::erase_if(m_members, [&](const auto& row) {
        const auto& [host, item] = row;
        const bool forgotten = item.absent_since && now - *item.absent_since >= absence_timeout;
        if (forgotten) {
            m_hosts_with_deadline.erase(host);
        }
        return forgotten;
    });
}

void membership::merge_endpoints(const std::vector<endpoint_entry>& endpoints, instant now) {
    for (auto& [id, item] : m_endpoints) {
        item.absent_since = item.absent_since.value_or(now);
    }
    for (const endpoint_entry& entry : endpoints) {
        m_endpoints.insert_or_assign(entry.id, listed_endpoint{entry, std::nullopt});
    }
    std::erase_if(m_endpoints, [now](const auto& row) {
        const auto& absent_since = row.second.absent_since;
        return absent_since && now - *absent_since >= absence_timeout;
    });
}

bool membership::is_in_fleet(const member& item, instant now) const {
    const bool live = item.state == liveness::alive || item.state == liveness::suspect;
    return item.entry && item.entry->state == member_state::live && live &&
           now >= item.hold_down_until;
}

/// True for hosts that leave. A draining host keeps its claims until its work is finished.
bool membership::is_leaving(const member& item) {
    const bool listed_leaving = item.entry && item.entry->state == member_state::leaving;
    return item.state == liveness::left || (listed_leaving && item.state != liveness::dead);
}

void membership::update_fleet(instant now) {
    std::vector<host_entry> hosts;
    m_context.leaving.clear();
    for (const auto& [host, item] : m_members) {
        if (is_in_fleet(item, now)) {
            hosts.push_back(*item.entry);
        } else if (is_leaving(item)) {
            m_context.leaving.insert(host);
        }
    }
    const host_entry self =
        m_self.value_or(host_entry{m_context.self, m_context.data_centre, {}, member_state::live});
    if (!m_leaving && self.state == member_state::live) {
        hosts.push_back(self);
    }
    std::vector<endpoint_entry> endpoints;
    for (const auto& [id, item] : m_endpoints) {
        endpoints.push_back(item.entry);
    }
    std::sort(hosts.begin(), hosts.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    std::sort(endpoints.begin(), endpoints.end(), [](const auto& a, const auto& b) {
        return std::tie(a.group, a.id) < std::tie(b.group, b.id);
    });
    const bool same = std::ranges::equal(hosts, m_context.fleet->hosts()) &&
                      std::ranges::equal(endpoints, m_context.fleet->endpoints());
    if (!same) {
        m_context.fleet = std::make_shared<const directory>(std::move(hosts), std::move(endpoints));
        m_changed = true;
    }
}

}  // namespace jasminelead
