#include "address_book.h"

namespace jasminelead::daemon {
namespace {

template <class Map, class Key>
std::optional<std::string> find_address(const Map& map, const Key& key) {
    const auto found = map.find(key);
    return found == map.end() ? std::nullopt : std::optional{found->second};
}

}  // namespace

void address_book::update(const host_list& list) {
    std::unordered_map<host_id, std::string> hosts;
    std::unordered_map<endpoint_id, std::string> endpoints;
    for (const host_entry& host : list.hosts) {
        hosts[host.id] = host.address;
    }
    for (const endpoint_entry& endpoint : list.endpoints) {
        endpoints[endpoint.id] = endpoint.address;
    }
    const std::lock_guard lock{m_lock};
    m_hosts.swap(hosts);
    m_endpoints.swap(endpoints);
}

std::optional<std::string> address_book::address_of(const host_id& host) const {
    const std::lock_guard lock{m_lock};
    return find_address(m_hosts, host);
}

std::optional<std::string> address_book::address_of(const endpoint_id& endpoint) const {
    const std::lock_guard lock{m_lock};
    return find_address(m_endpoints, endpoint);
}

std::size_t address_book::host_count() const {
    const std::lock_guard lock{m_lock};
    return m_hosts.size();
}

}  // namespace jasminelead::daemon
