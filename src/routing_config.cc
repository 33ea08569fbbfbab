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

bool config_holder::offer(std::shared_ptr<const routing_config> config) {
    if (!config || config->version <= version()) {
        return false;
    }
    m_current = std::move(config);
    return true;
}

}  // namespace jasminelead
