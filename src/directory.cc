#include "jasminelead/directory.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminelead {
namespace {

constexpr std::size_t relays_per_data_centre = 2;

std::uint64_t rendezvous_weight(const host_id& host, std::string_view key) {
    const std::uint64_t seed = XXH64(host.str().data(), host.str().size(), 0);
    return XXH64(key.data(), key.size(), seed);
}

const host_entry* highest(std::span<const host_entry> hosts, std::string_view key,
                          const data_centre_id* data_centre) {
    const host_entry* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const host_entry& host : hosts) {
        if (data_centre != nullptr && host.data_centre != *data_centre) {
            continue;
        }
        const std::uint64_t weight = rendezvous_weight(host.id, key);
        if (best == nullptr || weight > best_weight) {
            best = &host;
            best_weight = weight;
        }
    }
    return best;
}

host_id choose_owner(std::span<const host_entry> hosts, const endpoint_entry& endpoint) {
    const host_entry* owner = highest(hosts, endpoint.id.str(), &endpoint.data_centre);
    if (owner == nullptr) {
        owner = highest(hosts, endpoint.id.str(), nullptr);
    }
    return owner == nullptr ? host_id{} : owner->id;
}

}  // namespace

directory::directory(std::vector<host_entry> hosts, std::vector<endpoint_entry> endpoints)
    : m_hosts{std::move(hosts)}, m_endpoints{std::move(endpoints)} {
    std::sort(m_hosts.begin(), m_hosts.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    std::sort(m_endpoints.begin(), m_endpoints.end(), [](const auto& a, const auto& b) {
        return std::tie(a.group, a.id) < std::tie(b.group, b.id);
    });
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        const endpoint_entry& endpoint = m_endpoints[i];
        m_endpoint_index.emplace(endpoint.id, i);
        m_owners.push_back(choose_owner(m_hosts, endpoint));
        const auto [range, added] = m_groups.try_emplace(endpoint.group, group_range{i, 0});
        ++range->second.size;
    }
}

const host_entry* directory::host(const host_id& id) const {
    const auto found = std::lower_bound(
        m_hosts.begin(), m_hosts.end(), id,
        [](const host_entry& entry, const host_id& key) { return entry.id < key; });
    return found != m_hosts.end() && found->id == id ? &*found : nullptr;
}

const endpoint_entry* directory::endpoint(const endpoint_id& id) const {
    const auto found = m_endpoint_index.find(id);
    return found == m_endpoint_index.end() ? nullptr : &m_endpoints[found->second];
}

std::span<const endpoint_entry> directory::endpoints_of(const group_id& group) const {
    const auto found = m_groups.find(group);
    if (found == m_groups.end()) {
        return {};
    }
    return std::span{m_endpoints}.subspan(found->second.first, found->second.size);
}

const host_id* directory::owner_of(const endpoint_id& id) const {
    const auto found = m_endpoint_index.find(id);
    if (found == m_endpoint_index.end() || m_owners[found->second].empty()) {
        return nullptr;
    }
    return &m_owners[found->second];
}

std::vector<const host_entry*> rendezvous_order(std::span<const host_entry> hosts,
                                                std::string_view key) {
    std::vector<std::pair<std::uint64_t, const host_entry*>> weighted;
    weighted.reserve(hosts.size());
    for (const host_entry& host : hosts) {
        weighted.emplace_back(rendezvous_weight(host.id, key), &host);
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>{});
    std::vector<const host_entry*> order;
    order.reserve(weighted.size());
    for (const auto& [weight, host] : weighted) {
        order.push_back(host);
    }
    return order;
}

std::vector<host_id> relays_of(const directory& fleet, const data_centre_id& data_centre) {
    std::vector<host_id> relays;
    const std::string key = "relay/" + data_centre.str();
    for (const host_entry* host : rendezvous_order(fleet.hosts(), key)) {
        if (host->data_centre == data_centre && relays.size() < relays_per_data_centre) {
            relays.push_back(host->id);
        }
    }
    return relays;
}

}  // namespace jasminelead
