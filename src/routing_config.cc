#include "jasminelead/routing_config.h"

#include <utility>

namespace jasminelead {

const database_route* routing_config::find(std::string_view database) const {
    const auto found = routes.find(database);
    return found == routes.end() ? nullptr : &found->second;
}

std::uint32_t routing_config::max_connections(const group_id& group) const {
    const auto found = groups.find(group);
    return found == groups.end() ? 1 : found->second.max_connections;
}

std::optional<caller_identity> routing_config::authenticate(const database_route& route,
                                                            const key_digest& key) const {
    if (accounts.empty() || route.is_public) {
        return caller_identity{};
    }
    return accounts.authenticate(key);
}

bool routing_config::still_admits(const authenticated_caller& caller) const {
    return caller.identity.account.empty() || version <= caller.version ||
           accounts.holds(caller.identity);
}

bool config_holder::offer(std::shared_ptr<const routing_config> config) {
    if (!config || config->version <= version()) {
        return false;
    }
    m_current = std::move(config);
    return true;
}

}  // namespace jasminelead
